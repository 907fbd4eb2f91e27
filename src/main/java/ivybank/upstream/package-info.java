/** The upstream side: connections to nodes, attempts, reading answers. */
package ivybank.upstream;
