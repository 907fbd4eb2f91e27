package ivybank.daemon;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;

/**
 * The listening socket for clients that the platform keeps open, so that no connection is refused between two
 * processes.
 */
final class InheritedListener {

    /** The environment variable with the descriptor, which Java can only take over as standard input. */
    static final String VARIABLE = "EDGE_INHERITED_FD";

    private InheritedListener() {}

    /**
     * Returns the socket, or null where none is passed on. It must not be closed while the log is needed: Java closes
     * the standard streams with it.
     */
    static ServerSocketChannel listener(Map<String, String> environment) throws IOException {
        String descriptor = environment.getOrDefault(VARIABLE, "");
        if (descriptor.isBlank()) {
            return null;
        }
        Channel channel = descriptor.trim().equals("0") ? System.inheritedChannel() : null;
        if (channel instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new ConfigException(VARIABLE + " is " + descriptor + ": it must be 0, and that a listening TCP socket");
    }
}
