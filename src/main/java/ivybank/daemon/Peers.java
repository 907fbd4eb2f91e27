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

/** Puts a sidecar among the others. A class of its own, so that a sidecar without peers loads nothing of it. */
final class Peers {

    private static final int MOST_SEATS = 16_384;

    private Peers() {}

    /** Reads where they are from the operator file, or else from the configuration; does not listen yet. */
    static PeerFleet of(
            PeerSettings settings,
            Config config,
            Map<String, String> environment,
            EventLoop loop,
            Clock clock,
            Log log,
            IntConsumer sidecars)
            throws IOException {
        Config.PeerAddresses told = Config.peersIn(environment.get(Config.FILE));
        String listen = settings.listen().isEmpty() ? told.listen() : settings.listen();
        List<String> all = settings.addresses().isEmpty() ? told.all() : settings.addresses();
        if (listen.isEmpty() || all.isEmpty() || all.size() > MOST_SEATS) {
            throw new ConfigException("[peers] needs listen and 1 to " + MOST_SEATS
                    + " addresses, here or as peer_listen and peers in the" + " configuration: there are "
                    + all.size());
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        try {
            for (String each : all) {
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
