package ivybank.daemon;

import java.io.IOException;

/** Signals a missing or malformed configuration; the message says in one line what is wrong. */
final class ConfigException extends IOException {

    private static final long serialVersionUID = 1L;

    ConfigException(String message) {
        super(message.lines().findFirst().orElse("the configuration is malformed"));
    }
}
