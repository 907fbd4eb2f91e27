/** What is concluded from measured points: which count, how quantities grow, and how that is told; no processes and no sockets. */
package ivybank.scale.result;
