package ivybank.simhost;

import java.io.IOException;

/** Thrown for input that is not a valid frame of the wire protocol; the message says what is wrong and where. */
final class MalformedFrameException extends IOException {

    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
