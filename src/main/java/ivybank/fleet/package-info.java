/** A sidecar's view of the others and the layout of its datagrams; no input, output or clock. */
package ivybank.fleet;
