/** Counts by the second, and their sums over many logs. */
package ivybank.tally;
