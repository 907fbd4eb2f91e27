/** Operators' orders and what follows from them; no input, output or clock. */
package ivybank.operations;
