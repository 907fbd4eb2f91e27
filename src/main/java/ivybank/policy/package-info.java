/** The decision module: which server, which retry, which refusal; no input, output or clock. */
package ivybank.policy;
