package ivybank.exchange;

/** The connection on which a request was received. Used on its event loop. */
public interface ClientLink {

    /** The link of a request for which no client waits on a connection. */
    ClientLink NONE = () -> true;

    /**
     * Reads pending input, so that the client's disconnect is noticed even if the selector does not report it, and returns
     * whether something may be sent for the client now. If not, either the disconnect has just been read and is about to be
     * reported, or the connection is unreadable at the moment and the caller should ask again shortly.
     */
    boolean verifyClientPresent();
}
