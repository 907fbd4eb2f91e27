package ivybank.daemon;

import io.netty.channel.EventLoop;
import ivybank.common.Addresses;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.peers.PeerFleet;
import ivybank.peers.PeerSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * Sets up the fleet of peers of a sidecar. A class of its own, so that a sidecar without peers loads no class of it.
 */
final class PeerStartup {

    private static final int MAX_MEMBERS = 16_384;

    private PeerStartup() {}

    /**
     * Creates the fleet of peers with the addresses from the operator file, or else from the configuration; it does not
     * listen yet.
     *
     * @param sidecars receives the number of sidecars in the fleet
     */
    static PeerFleet of(
            PeerSettings settings,
            Config config,
            Map<String, String> environment,
            EventLoop loop,
            Clock clock,
            Log log,
            IntConsumer sidecars)
            throws IOException {
        Config.PeerAddresses configured = Config.readPeerAddresses(environment.get(Config.FILE_VARIABLE));
        String listen = settings.listen().isEmpty() ? configured.listen() : settings.listen();
        List<String> addressTexts = settings.addresses().isEmpty() ? configured.all() : settings.addresses();
        if (listen.isEmpty() || addressTexts.isEmpty() || addressTexts.size() > MAX_MEMBERS) {
            throw new ConfigException("[peers] needs listen and 1 to " + MAX_MEMBERS
                    + " addresses, here or as peer_listen and peers in the" + " configuration: there are "
                    + addressTexts.size());
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        try {
            for (String each : addressTexts) {
                addresses.add(Addresses.parse(each));
            }
            if (new HashSet<>(addresses).size() < addresses.size()) {
                throw new ConfigException("[peers] names an address twice");
            }
            return new PeerFleet(
                    settings,
                    config.name(),
                    Addresses.parse(listen),
                    addresses,
                    config.seed(),
                    config.settings().sidecars(),
                    loop,
                    clock,
                    log,
                    sidecars);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("[peers]: " + e.getMessage());
        }
    }
}
