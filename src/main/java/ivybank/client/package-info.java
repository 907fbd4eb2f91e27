/** The client side: connections, reading requests, writing answers. */
package ivybank.client;
