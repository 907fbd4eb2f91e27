package ivybank.daemon;

import ivybank.common.Log;
import ivybank.supervision.StartRetry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.DatagramChannel;
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
     *
     * @throws ConfigException if the variable names no listening TCP socket; also if its examination failed
     */
    static ServerSocketChannel listener(Map<String, String> environment, Log log) throws IOException {
        String descriptor = environment.getOrDefault(VARIABLE, "");
        if (descriptor.isBlank()) {
            return null;
        }
        boolean standardInput = descriptor.trim().equals("0");
        if (standardInput) {
            StartRetry.call("examining a socket", log, e -> false, InheritedListener::examineSocket);
        }
        Channel channel = standardInput ? System.inheritedChannel() : null;
        if (channel instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new ConfigException(VARIABLE + " is " + descriptor + ": it must be 0, and that a listening TCP socket");
    }

    /**
     * Uses the system calls by which Java examines an inherited socket, on another one. Java does so once: if a call fails, it
     * reports no socket, now and ever after.
     */
    private static InetSocketAddress examineSocket() throws IOException {
        try (DatagramChannel probe = DatagramChannel.open()) {
            probe.getOption(StandardSocketOptions.SO_RCVBUF);
            probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return (InetSocketAddress) probe.getLocalAddress();
        }
    }
}
