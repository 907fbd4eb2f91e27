/** Priority queues of waiting items, ranked by values that the caller sets; does no I/O and reads no clock. */
package ivybank.queue;
