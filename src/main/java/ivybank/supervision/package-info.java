/** Keeps chains of steps going, whatever becomes of one step, and tells the end of each connection that was begun. */
package ivybank.supervision;
