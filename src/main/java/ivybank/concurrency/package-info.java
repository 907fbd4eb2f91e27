/** Adaptive concurrency limits and the latency statistics behind them; does no I/O and reads no clock. */
package ivybank.concurrency;
