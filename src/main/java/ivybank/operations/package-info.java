/** Maintenance state ordered by operators and the behaviour that follows from it; without I/O and clock. */
package ivybank.operations;
