/** What a request and its answer are, between the client side and the upstream side. */
package ivybank.exchange;
