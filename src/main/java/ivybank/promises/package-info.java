/** Durable records, which survive a restart, of requests that must not run twice. */
package ivybank.promises;
