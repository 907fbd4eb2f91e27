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
 * What one sidecar did in one second, and its line in the log.
 *
 * @param atMs when it ended, Unix time
 * @param lateMs how much later than due the event loop came to end it
 * @param version of the list that was known at its end, or -1
 * @param taken requests taken, {@code served} and {@code notServed} answered
 * @param calls to discovery begun; {@code callsFailed} by how they ended
 * @param nodes by name; at most {@link SecondTally#MOST_NODES}, the rest as one under {@link #OTHERS}
 * @param stages how many took so many microseconds, in steps of an eighth or less
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

    /** The name of all nodes that had no place of their own. */
    public static final String OTHERS = "*";

    static final String WORD = "tally";
    /** What the names of stages begin with in a line: {@code stage:rest=4096*2} says that two took 4,096 microseconds. */
    private static final String STAGE = "stage:";

    /** Of one node: connections begun, held and idle at the end, not come up; attempts by its age, turned away, timed out. */
    public record NodeCounts(
            int begun, int held, int idle, int notUp, int justBack, int cold, int warm, int turnedAway, int timedOut) {

        static final NodeCounts ZERO = new NodeCounts(0, 0, 0, 0, 0, 0, 0, 0, 0);
        private static final int FIGURES = 9;

        int sent() {
            return justBack + cold + warm;
        }

        boolean isNothing() {
            return equals(ZERO);
        }

        NodeCounts plus(NodeCounts other) {
            return new NodeCounts(
                    begun + other.begun,
                    held + other.held,
                    idle + other.idle,
                    notUp + other.notUp,
                    justBack + other.justBack,
                    cold + other.cold,
                    warm + other.warm,
                    turnedAway + other.turnedAway,
                    timedOut + other.timedOut);
        }

        private String text() {
            return begun + "," + held + "," + idle + "," + notUp + "," + justBack + "," + cold + "," + warm + ","
                    + turnedAway + "," + timedOut;
        }

        private static NodeCounts parse(String text) {
            String[] parts = text.split(",", -1);
            if (parts.length != FIGURES) {
                throw new IllegalArgumentException("a node has " + FIGURES + " figures, not '" + text + "'");
            }
            int[] n = new int[FIGURES];
            for (int i = 0; i < FIGURES; i++) {
                n[i] = Integer.parseInt(parts[i]);
            }
            return new NodeCounts(n[0], n[1], n[2], n[3], n[4], n[5], n[6], n[7], n[8]);
        }
    }

    public SecondCounts {
        callsFailed = Map.copyOf(callsFailed);
        nodes = Map.copyOf(nodes);
        stages = stages.isEmpty() ? Map.of() : Collections.unmodifiableMap(new EnumMap<>(stages));
    }

    /** As a line of the log. */
    public String line() {
        StringBuilder text = new StringBuilder(WORD)
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
        stages.forEach((stage, counts) ->
                text.append(' ').append(STAGE).append(stage.word()).append('=').append(text(counts)));
        nodes.forEach((name, node) -> text.append(" /").append(name).append('=').append(node.text()));
        return text.toString();
    }

    private static String text(Map<Long, Long> counts) {
        return counts.entrySet().stream()
                .map(entry -> entry.getKey() + "*" + entry.getValue())
                .collect(Collectors.joining(","));
    }

    private static Map<Long, Long> counts(String text) {
        Map<Long, Long> counts = new TreeMap<>();
        for (String part : text.split(",", -1)) {
            int times = part.indexOf('*');
            if (times < 0) {
                throw new IllegalArgumentException("'" + part + "' is not microseconds*count");
            }
            long micros = Long.parseLong(part.substring(0, times));
            long count = Long.parseLong(part.substring(times + 1));
            if (micros < 0 || count <= 0) {
                throw new IllegalArgumentException("'" + part + "' has figures that can't be");
            }
            counts.merge(micros, count, Long::sum);
        }
        return counts;
    }

    /** Adds the times of a stage; one that is unknown here is of a later version, and is passed over. */
    private static void addStage(Map<Stage, Map<Long, Long>> stages, String word, String value) {
        for (Stage stage : Stage.values()) {
            if (stage.word().equals(word)) {
                stages.put(stage, counts(value));
            }
        }
    }

    /**
     * Reads a line of a log, which may begin with whatever wrote it down puts there; null where it is none of these.
     *
     * @throws IllegalArgumentException where it is one and can't be read
     */
    public static SecondCounts parse(String line) {
        int from = line.indexOf(WORD + " at=");
        if (from < 0 || from > 0 && line.charAt(from - 1) != ' ') {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Map<String, Integer> failed = new LinkedHashMap<>();
        Map<String, NodeCounts> nodes = new LinkedHashMap<>();
        Map<Stage, Map<Long, Long>> stages = new EnumMap<>(Stage.class);
        List<String> words = new ArrayList<>(
                List.of(line.substring(from + WORD.length()).trim().split(" ")));
        for (String word : words) {
            int equals = word.lastIndexOf('=');
            if (equals <= 0) {
                throw new IllegalArgumentException("'" + word + "' is not name=value");
            }
            String name = word.substring(0, equals);
            String value = word.substring(equals + 1);
            if (name.startsWith("/")) {
                nodes.merge(name.substring(1), NodeCounts.parse(value), NodeCounts::plus);
            } else if (name.startsWith(STAGE)) {
                addStage(stages, name.substring(STAGE.length()), value);
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
