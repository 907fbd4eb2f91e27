/** Scenarios played on this machine, with verdicts and reports. */
package ivybank.rehearsal;
