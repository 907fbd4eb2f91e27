/** Datagrams between sidecars: socket, keys and counters. */
package ivybank.peers;
