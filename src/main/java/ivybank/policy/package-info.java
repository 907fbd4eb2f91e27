/** The decision module: chooses nodes, retries and refusals; does no I/O and reads no clock. */
package ivybank.policy;
