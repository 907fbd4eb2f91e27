package ivybank.store;

/** Reports that another process holds the folder of a store. It may release the folder, or end, at any time. */
public final class StoreInUseException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with a one-line message. */
    public StoreInUseException(String message) {
        super(message);
    }
}
