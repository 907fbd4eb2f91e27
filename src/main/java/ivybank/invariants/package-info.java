/** The rules that hold at the moment at which something is sent, repeated, closed or started; no input, output or clock. */
package ivybank.invariants;
