/** What a node that has just started can bear; no input, output or clock. */
package ivybank.slowstart;
