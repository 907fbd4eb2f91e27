/** Computes how many nodes a sidecar balances over; does no I/O and reads no clock. */
package ivybank.subsetting;
