/** Wiring of the sidecar: configuration, the driver of the decision module, start and end of the process. */
package ivybank.daemon;
