/** A durable key-value store that survives a loss of power. It is independent of requests and their handling. */
package ivybank.store;
