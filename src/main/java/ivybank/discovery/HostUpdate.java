package ivybank.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.common.Addresses;
import ivybank.policy.Balancer.Status;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * What discovery says of upstreams: the whole list, or the entries that changed up to version {@code seq}; and whether
 * it is the first word from another address, which may be older than what is known.
 */
public record HostUpdate(long seq, boolean whole, boolean fromElsewhere, List<Entry> entries) {

    public static final HostUpdate EMPTY = new HostUpdate(0, true, List.of());

    public HostUpdate(long seq, boolean whole, List<Entry> entries) {
        this(seq, whole, false, entries);
    }

    HostUpdate elsewhere() {
        return new HostUpdate(seq, whole, true, entries);
    }

    /**
     * The version from which a watch can go on from this list, as it was last known, or -1 where it is better to ask for the
     * whole list: where nothing is known, or where a call costs nobody anything.
     *
     * @param asked whether calls wait in turn at one service for all sidecars
     */
    public long resumeFrom(boolean asked) {
        return asked && whole && !entries.isEmpty() && seq >= 0 ? seq : -1;
    }

    /** One upstream; {@code bornMs} 0 means long ago. */
    public record Entry(
            String host,
            SocketAddress address,
            Status status,
            double bornMs,
            String zone,
            String kind,
            int cell,
            double weight) {}

    public HostUpdate {
        entries = List.copyOf(entries);
    }

    /** Reads discovery's form; unknown fields are ignored, a malformed one is refused whole. */
    public static HostUpdate read(JsonNode root) {
        if (!root.path("seq").canConvertToLong() || !root.path("hosts").isArray()) {
            throw new IllegalArgumentException("a list of upstreams needs seq and hosts");
        }
        List<Entry> entries = new ArrayList<>();
        root.get("hosts").forEach(host -> entries.add(entry(host)));
        return new HostUpdate(root.get("seq").asLong(), root.path("whole").asBoolean(false), entries);
    }

    private static Entry entry(JsonNode node) {
        String host = node.path("host").asText("");
        if (host.isEmpty()) {
            throw new IllegalArgumentException("an upstream has no host");
        }
        return new Entry(
                host,
                Addresses.parse(node.path("dial").asText("")),
                status(node.path("health").asText("")),
                node.path("born_ms").asDouble(0),
                node.path("site").asText(""),
                node.path("class").asText(""),
                node.path("block").asInt(0),
                Math.max(0, node.path("share").asDouble(1)));
    }

    private static Status status(String health) {
        return switch (health) {
            case "Ready" -> Status.READY;
            case "Gone" -> Status.GONE;
            default -> Status.DRAINING; // a word that is not known here is no leave to send anything new
        };
    }
}
