package ivybank.promises;

/**
 * How requests that must not run twice are recorded.
 *
 * @param header of a request that holds its identity
 * @param keepMs how long it is remembered
 * @param most identities
 * @param letThrough whether requests go on without a promise while nothing can be recorded, rather than be refused
 */
public record PromiseSettings(String header, double keepMs, int most, boolean letThrough) {}
