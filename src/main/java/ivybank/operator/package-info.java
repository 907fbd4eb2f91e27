/** The operator file: settings that operators add to the configuration of the platform. */
package ivybank.operator;
