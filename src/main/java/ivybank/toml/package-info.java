/** Strict reading of TOML files. */
package ivybank.toml;
