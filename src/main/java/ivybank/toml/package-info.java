/** Strict parsing of TOML files, with errors that name the key and what is allowed. */
package ivybank.toml;
