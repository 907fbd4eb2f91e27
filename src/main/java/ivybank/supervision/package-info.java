/** Keeps tasks whose steps trigger one another running after a failed step, and reports the end of each outbound connection. */
package ivybank.supervision;
