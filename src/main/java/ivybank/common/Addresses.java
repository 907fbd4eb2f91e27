package ivybank.common;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats numeric addresses. */
public final class Addresses {

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Formats an address so that {@link #parse} can read it. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Parses a numeric address with a port. Names are not resolved, because there is no name service.
     *
     * @throws IllegalArgumentException if the text is not such an address
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host != null && port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(InetAddress.getByAddress(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("not a numeric address with a port: " + text, e);
        }
        throw new IllegalArgumentException("not a numeric address with a port: " + text);
    }
}
