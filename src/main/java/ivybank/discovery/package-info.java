/** The list of nodes, and the calls to discovery that keep it up to date. */
package ivybank.discovery;
