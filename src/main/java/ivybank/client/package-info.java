/** Client connections: accepting them, reading requests and writing answers. */
package ivybank.client;
