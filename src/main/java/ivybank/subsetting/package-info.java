/** How many nodes a sidecar draws from; no input, output or clock. */
package ivybank.subsetting;
