package ivybank.store;

import java.io.IOException;

/** A store that can't be used as it is, in one line for operators. */
public class StoreException extends IOException {

    private static final long serialVersionUID = 1L;

    public StoreException(String message) {
        super(message);
    }
}
