package ivybank.toml;

/** An input that can't be used: its message is one line that says where, what is wrong and what is allowed. */
public final class InputException extends Exception {

    private static final long serialVersionUID = 1;

    public InputException(String message) {
        super(message);
    }
}
