/** Hosts the decision module for the simulator, over its wire protocol. */
package ivybank.simhost;
