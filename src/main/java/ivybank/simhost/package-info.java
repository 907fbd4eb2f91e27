/** The decision module on the simulator's wire. */
package ivybank.simhost;
