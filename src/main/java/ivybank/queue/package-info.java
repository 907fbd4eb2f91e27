/** Queues of waiting items, ranked by values that others give; no input, output or clock. */
package ivybank.queue;
