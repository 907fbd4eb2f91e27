/** Keeps periodic and chained tasks running after a failed step, and reports the end of each outbound connection. */
package ivybank.supervision;
