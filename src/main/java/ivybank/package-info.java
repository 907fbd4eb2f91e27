/** The command line of the program. */
package ivybank;
