/** Socket channels that survive transient errors of system calls. */
package ivybank.transport;
