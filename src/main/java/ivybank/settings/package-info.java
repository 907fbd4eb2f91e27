/** Reads the settings. */
package ivybank.settings;
