/** Slow start: rate limits for nodes that have just started; does no I/O and reads no clock. */
package ivybank.slowstart;
