/** Scenario files, and the plans drawn from them; no input or output beyond text. */
package ivybank.rehearsal.scenario;
