package ivybank.daemon;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;

/** The clients' listening socket where the platform keeps it, so that no connection is refused between two processes. */
final class InheritedListener {

    /** Names the descriptor, which Java can take over only where it is that of standard input. */
    static final String VARIABLE = "EDGE_INHERITED_FD";

    private InheritedListener() {}

    /**
     * The socket, or null where none is handed over. It must not be closed while the log is needed: with it Java closes
     * the standard streams.
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
