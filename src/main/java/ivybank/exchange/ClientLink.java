package ivybank.exchange;

/** The connection on which a request came. Used on its event loop. */
public interface ClientLink {

    /** Of a request that nobody waits for on a connection. */
    ClientLink NONE = () -> true;

    /**
     * Reads what has come from the client, so that its end is seen however the connection fares, and tells whether something may be
     * sent for it now. Where not, either its end was just seen and is about to be told, or nothing can be read for the moment: then
     * this is to be asked again a little later.
     */
    boolean verifyClientPresent();
}
