/** The admin endpoint and the maintenance state kept on file. */
package ivybank.control;
