package ivybank.toml;

/**
 * Signals an unusable input. The message is one line that says where the input is wrong, what is wrong and what is
 * allowed.
 */
public final class InputException extends Exception {

    private static final long serialVersionUID = 1;

    public InputException(String message) {
        super(message);
    }
}
