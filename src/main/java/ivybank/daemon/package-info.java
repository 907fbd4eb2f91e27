/** The sidecar process: its configuration, its wiring, the dispatcher of requests, and its start and shutdown. */
package ivybank.daemon;
