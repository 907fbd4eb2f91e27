package ivybank.common;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads and writes addresses in figures. */
public final class Addresses {

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** As {@link #parse} reads it. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * An address in figures with a port; names are not looked up, for there is no name service.
     *
     * @throws IllegalArgumentException if it is none
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
            throw new IllegalArgumentException("not an address: " + text, e);
        }
        throw new IllegalArgumentException("not an address: " + text);
    }
}
