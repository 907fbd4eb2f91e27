package ivybank.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.common.Addresses;
import ivybank.policy.Balancer.Status;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * An update of the list of nodes from discovery: the whole list, or the entries that changed up to version {@code seq}.
 * {@code fromElsewhere}: it may be older than what is already known, as the first update from another address may be.
 */
public record NodeListUpdate(long seq, boolean whole, boolean fromElsewhere, List<Entry> entries) {

    /** The list where nothing is known. */
    public static final NodeListUpdate EMPTY = new NodeListUpdate(0, true, List.of());

    public NodeListUpdate(long seq, boolean whole, List<Entry> entries) {
        this(seq, whole, false, entries);
    }

    NodeListUpdate asFromElsewhere() {
        return new NodeListUpdate(seq, whole, true, entries);
    }

    /**
     * Returns the version from which a watch can resume from this list, as it was last known, or -1 where the whole list should
     * be requested: where nothing is known, or where a call is cheap.
     *
     * @param asked whether calls queue at one discovery service shared by all sidecars
     */
    public long resumeFrom(boolean asked) {
        return asked && whole && !entries.isEmpty() && seq >= 0 ? seq : -1;
    }

    /** One node. {@code startedMs} is the start of its process in Unix milliseconds; 0 means long ago. */
    public record Entry(
            String host,
            SocketAddress address,
            Status status,
            double startedMs,
            String zone,
            String kind,
            int cell,
            double weight) {}

    public NodeListUpdate {
        entries = List.copyOf(entries);
    }

    /** Parses an update from discovery. Unknown fields are ignored; a malformed update is rejected as a whole. */
    public static NodeListUpdate read(JsonNode root) {
        if (!root.path("seq").canConvertToLong() || !root.path("hosts").isArray()) {
            throw new IllegalArgumentException("a list of upstreams needs seq and hosts");
        }
        List<Entry> entries = new ArrayList<>();
        root.get("hosts").forEach(host -> entries.add(entry(host)));
        return new NodeListUpdate(root.get("seq").asLong(), root.path("whole").asBoolean(false), entries);
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
            default -> Status.DRAINING; // nothing new may be sent to a node whose health is unknown here
        };
    }
}
