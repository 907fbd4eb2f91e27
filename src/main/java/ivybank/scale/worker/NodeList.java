package ivybank.scale.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.Json;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;

/** A list of nodes in discovery's form, with its version and what changed lately. Not safe for use by several threads. */
final class NodeList {

    private static final int PORT = 7070;
    private static final int KINDS = 3;
    private static final int BLOCKS = 4;
    private static final int BYTE = 256;
    private static final int MOST_REMEMBERED = 4096;

    /** What one version changed: the places in the list. */
    private record Change(long version, List<Integer> places) {}

    private final int zones;
    private final double[] startedMs;
    private final Deque<Change> lately = new ArrayDeque<>();
    private long version;
    private int next;
    private String whole; // null: to be made anew

    NodeList(int size, int zones, long version) {
        this.zones = zones;
        this.startedMs = new double[size];
        this.version = version;
    }

    int size() {
        return startedMs.length;
    }

    long version() {
        return version;
    }

    /** Changes the next entries in turn and returns the change as a line. */
    String change(int entries, double atMs) {
        List<Integer> places = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            startedMs[next] = atMs;
            places.add(next);
            next = (next + 1) % startedMs.length;
        }
        version++;
        whole = null;
        lately.addLast(new Change(version, places));
        if (lately.size() > MOST_REMEMBERED) {
            lately.removeFirst();
        }
        return text(false, places);
    }

    /** The whole list. */
    String whole() {
        if (whole == null) {
            List<Integer> places = new ArrayList<>();
            for (int place = 0; place < startedMs.length; place++) {
                places.add(place);
            }
            whole = text(true, places);
        }
        return whole;
    }

    /** What changed after a version: nothing, the entries, or the whole list where that is not known any more. */
    String since(long known) {
        if (known == version) {
            return "";
        }
        boolean remembered =
                known < version && !lately.isEmpty() && lately.peekFirst().version() <= known + 1;
        if (!remembered) {
            return whole();
        }
        TreeSet<Integer> places = new TreeSet<>();
        lately.stream().filter(change -> change.version() > known).forEach(change -> places.addAll(change.places()));
        return text(false, List.copyOf(places));
    }

    private String text(boolean all, List<Integer> places) {
        ObjectNode root = Json.MAPPER.createObjectNode().put("seq", version).put("whole", all);
        ArrayNode hosts = root.putArray("hosts");
        places.forEach(place -> hosts.add(entry(place)));
        return root.toString();
    }

    private ObjectNode entry(int place) {
        return Json.MAPPER
                .createObjectNode()
                .put("host", String.format(Locale.ROOT, "s-%08x", place))
                .put("dial", "10." + place / BYTE / BYTE + "." + place / BYTE % BYTE + "." + place % BYTE + ":" + PORT)
                .put("site", String.format(Locale.ROOT, "z%02d", place % zones))
                .put("class", "m" + place % KINDS)
                .put("block", place % BLOCKS)
                .put("health", "Ready")
                .put("share", 1.0)
                .put("born_ms", startedMs[place]);
    }
}
