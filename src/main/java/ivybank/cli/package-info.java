/** Commands beside the sidecar and the simulator host. */
package ivybank.cli;
