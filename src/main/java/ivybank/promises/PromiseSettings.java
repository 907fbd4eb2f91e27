package ivybank.promises;

/**
 * Settings of the records of requests that must not run twice.
 *
 * @param header name of the request header that holds the identity of a request
 * @param keepMs how long an identity is remembered
 * @param most maximum number of identities
 * @param letThrough whether requests are sent without a promise, rather than refused, while nothing can be recorded
 */
public record PromiseSettings(String header, double keepMs, int most, boolean letThrough) {

    /** Returns the same settings with another maximum number of identities. */
    public PromiseSettings withMost(int newMost) {
        return new PromiseSettings(header, keepMs, newMost, letThrough);
    }
}
