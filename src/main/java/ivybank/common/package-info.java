/** What several packages share: clock, log, addresses, descriptors and the event loop's stalls. */
package ivybank.common;
