/** How much memory the messages in progress may take, and what is done where it is used up. No I/O, no clock. */
package ivybank.memory;
