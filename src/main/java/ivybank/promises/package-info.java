/** Records of requests that must not run twice, which outlast a restart. */
package ivybank.promises;
