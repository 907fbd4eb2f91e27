/** The operator file. */
package ivybank.operator;
