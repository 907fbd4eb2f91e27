/** The admin endpoint and the orders kept on file. */
package ivybank.control;
