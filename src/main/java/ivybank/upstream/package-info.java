/** Connections to nodes, attempts, and parsing of answers. */
package ivybank.upstream;
