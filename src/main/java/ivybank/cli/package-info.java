/** The command line interface, apart from running the sidecar and the simulator host. */
package ivybank.cli;
