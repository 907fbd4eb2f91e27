/** Counts by the second, and their sums over the logs of many sidecars. */
package ivybank.tally;
