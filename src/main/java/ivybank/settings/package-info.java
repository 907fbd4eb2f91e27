/** Parses the settings of the decision module. */
package ivybank.settings;
