package ivybank.tally;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The counts of one sidecar in one second, and their log line.
 *
 * @param atMs the end of the second, in Unix milliseconds
 * @param lateMs how much later than due the event loop ended it
 * @param version the version of the list that was known at its end, or -1
 * @param taken the number of accepted requests; {@code served} and {@code notServed} of the completed ones
 * @param calls the number of calls to discovery started; {@code callsFailed} by how they ended
 * @param nodes the counts by node; at most {@link SecondTally#MAX_NODES}, the others summed under {@link #OTHERS}
 * @param stages the number of times by stage and microseconds, in steps of an eighth or less
 */
public record SecondCounts(
        double atMs,
        double lateMs,
        long version,
        int taken,
        int served,
        int notServed,
        int calls,
        Map<String, Integer> callsFailed,
        Map<String, NodeCounts> nodes,
        Map<Stage, Map<Long, Long>> stages) {

    /** The name under which nodes without an entry of their own are summed. */
    public static final String OTHERS = "*";

    static final String LINE_PREFIX = "tally";
    /** The prefix of stages in a line: {@code stage:rest=4096*2} means that two requests took 4,096 microseconds. */
    private static final String STAGE_PREFIX = "stage:";

    /**
     * The counts of one node: connections started, held and idle at the end, and failed; attempts by the age of the node, rejected,
     * and timed out.
     */
    public record NodeCounts(
            int started, int held, int idle, int failed, int justBack, int cold, int warm, int rejected, int timedOut) {

        static final NodeCounts ZERO = new NodeCounts(0, 0, 0, 0, 0, 0, 0, 0, 0);
        private static final int FIELD_COUNT = 9;

        int sent() {
            return justBack + cold + warm;
        }

        boolean isNothing() {
            return equals(ZERO);
        }

        NodeCounts plus(NodeCounts other) {
            return new NodeCounts(
                    started + other.started,
                    held + other.held,
                    idle + other.idle,
                    failed + other.failed,
                    justBack + other.justBack,
                    cold + other.cold,
                    warm + other.warm,
                    rejected + other.rejected,
                    timedOut + other.timedOut);
        }

        private String format() {
            return started + "," + held + "," + idle + "," + failed + "," + justBack + "," + cold + "," + warm + ","
                    + rejected + "," + timedOut;
        }

        private static NodeCounts parse(String text) {
            String[] parts = text.split(",", -1);
            if (parts.length != FIELD_COUNT) {
                throw new IllegalArgumentException("a node has " + FIELD_COUNT + " fields, not '" + text + "'");
            }
            int[] fields = new int[FIELD_COUNT];
            for (int i = 0; i < FIELD_COUNT; i++) {
                fields[i] = Integer.parseInt(parts[i]);
            }
            return new NodeCounts(
                    fields[0], fields[1], fields[2], fields[3], fields[4], fields[5], fields[6], fields[7], fields[8]);
        }
    }

    public SecondCounts {
        callsFailed = Map.copyOf(callsFailed);
        nodes = Map.copyOf(nodes);
        stages = stages.isEmpty() ? Map.of() : Collections.unmodifiableMap(new EnumMap<>(stages));
    }

    /** Returns the log line. */
    public String line() {
        StringBuilder text = new StringBuilder(LINE_PREFIX)
                .append(" at=")
                .append(Math.round(atMs))
                .append(" late=")
                .append(Math.round(lateMs))
                .append(" list=")
                .append(version)
                .append(" taken=")
                .append(taken)
                .append(" served=")
                .append(served)
                .append(" not=")
                .append(notServed)
                .append(" calls=")
                .append(calls);
        callsFailed.forEach(
                (how, count) -> text.append(" failed:").append(how).append('=').append(count));
        stages.forEach((stage, counts) -> text.append(' ')
                .append(STAGE_PREFIX)
                .append(stage.key())
                .append('=')
                .append(format(counts)));
        nodes.forEach((name, node) -> text.append(" /").append(name).append('=').append(node.format()));
        return text.toString();
    }

    private static String format(Map<Long, Long> counts) {
        return counts.entrySet().stream()
                .map(entry -> entry.getKey() + "*" + entry.getValue())
                .collect(Collectors.joining(","));
    }

    private static Map<Long, Long> parseCounts(String text) {
        Map<Long, Long> counts = new TreeMap<>();
        for (String part : text.split(",", -1)) {
            int times = part.indexOf('*');
            if (times < 0) {
                throw new IllegalArgumentException("'" + part + "' is not microseconds*count");
            }
            long micros = Long.parseLong(part.substring(0, times));
            long count = Long.parseLong(part.substring(times + 1));
            if (micros < 0 || count <= 0) {
                throw new IllegalArgumentException("'" + part + "' has invalid values");
            }
            counts.merge(micros, count, Long::sum);
        }
        return counts;
    }

    /** Adds the times of a stage. An unknown stage is of a later version, and is ignored. */
    private static void addStage(Map<Stage, Map<Long, Long>> stages, String key, String value) {
        for (Stage stage : Stage.values()) {
            if (stage.key().equals(key)) {
                stages.put(stage, parseCounts(value));
            }
        }
    }

    /**
     * Parses a log line, which may have an arbitrary prefix of the log collector; returns null where it has no counts.
     *
     * @throws IllegalArgumentException if it has counts that are malformed
     */
    public static SecondCounts parse(String line) {
        int from = line.indexOf(LINE_PREFIX + " at=");
        if (from < 0 || from > 0 && line.charAt(from - 1) != ' ') {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Map<String, Integer> failed = new LinkedHashMap<>();
        Map<String, NodeCounts> nodes = new LinkedHashMap<>();
        Map<Stage, Map<Long, Long>> stages = new EnumMap<>(Stage.class);
        List<String> tokens = new ArrayList<>(
                List.of(line.substring(from + LINE_PREFIX.length()).trim().split(" ")));
        for (String token : tokens) {
            int equals = token.lastIndexOf('=');
            if (equals <= 0) {
                throw new IllegalArgumentException("'" + token + "' is not name=value");
            }
            String name = token.substring(0, equals);
            String value = token.substring(equals + 1);
            if (name.startsWith("/")) {
                nodes.merge(name.substring(1), NodeCounts.parse(value), NodeCounts::plus);
            } else if (name.startsWith(STAGE_PREFIX)) {
                addStage(stages, name.substring(STAGE_PREFIX.length()), value);
            } else if (name.startsWith("failed:")) {
                failed.merge(name.substring("failed:".length()), Integer.parseInt(value), Integer::sum);
            } else {
                fields.put(name, value);
            }
        }
        return new SecondCounts(
                number(fields, "at"),
                number(fields, "late"),
                number(fields, "list"),
                (int) number(fields, "taken"),
                (int) number(fields, "served"),
                (int) number(fields, "not"),
                (int) number(fields, "calls"),
                failed,
                nodes,
                stages);
    }

    private static long number(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null) {
            throw new IllegalArgumentException("'" + name + "' is missing");
        }
        return Long.parseLong(value);
    }
}
