/** Socket channels that outlast system calls that fail for a moment. */
package ivybank.transport;
