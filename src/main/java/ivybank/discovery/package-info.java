/** The list of nodes and how it is followed. */
package ivybank.discovery;
