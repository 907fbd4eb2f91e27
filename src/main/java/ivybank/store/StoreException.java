package ivybank.store;

import java.io.IOException;

/** Reports that a store can't be used in its present state. The message is one line for operators. */
public class StoreException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with a one-line message. */
    public StoreException(String message) {
        super(message);
    }
}
