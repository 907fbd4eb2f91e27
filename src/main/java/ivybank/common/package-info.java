/** Classes that several packages share: clock, log, addresses, file descriptors and event loop stalls. */
package ivybank.common;
