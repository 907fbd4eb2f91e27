/** Requests and their answers, as passed between the client side and the upstream side. */
package ivybank.exchange;
