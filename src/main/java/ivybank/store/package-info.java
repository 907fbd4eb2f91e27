/** A store of keys and values that outlasts a loss of power; it knows nothing of requests. */
package ivybank.store;
