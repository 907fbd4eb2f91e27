/** The rules checked at the moment at which something is sent, repeated, closed or started. They use no I/O and no clock. */
package ivybank.invariants;
