/** How many attempts a node may have at once, and the latencies that decide it; no input, output or clock. */
package ivybank.concurrency;
