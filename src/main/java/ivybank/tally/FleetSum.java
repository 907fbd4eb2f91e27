package ivybank.tally;

import ivybank.common.RecoveryTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The counts of all sidecars, summed by node and by second of the sidecars' clocks: each second of a sidecar is added to the one
 * in which it ended.
 */
public final class FleetSum {

    private static final Pattern SHED_LINE =
            Pattern.compile("given up within \\d+ ms: \\{([A-Z_0-9=, ]*)\\}; admitting (\\d+)%; of (\\d+)"
                    + " members (\\d+) full, (\\d+) cold, (\\d+) set aside");
    private static final Pattern CAUSE = Pattern.compile("([A-Z_]+)=(\\d{1,9})");
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;
    /** The longest span of a folder of logs; seconds further apart come from a clock that was set. */
    static final int MAX_SPAN_SECONDS = 7 * 24 * 3600;

    /** The counts of all sidecars in one second. */
    public static final class FleetSecond {
        private int sidecars;
        private int taken;
        private int served;
        private int notServed;
        private int calls;
        private double maxLateMs;
        private int members;
        private int full;
        private int shedLines;
        private SecondCounts.NodeCounts all = SecondCounts.NodeCounts.ZERO;
        private final Map<String, Integer> callsFailed = new TreeMap<>();
        private final Map<String, Integer> shed = new TreeMap<>();
        private final Map<String, SecondCounts.NodeCounts> nodes = new TreeMap<>();

        private void add(SecondCounts second) {
            sidecars++;
            taken += second.taken();
            served += second.served();
            notServed += second.notServed();
            calls += second.calls();
            maxLateMs = Math.max(maxLateMs, second.lateMs());
            second.callsFailed().forEach((how, count) -> callsFailed.merge(how, count, Integer::sum));
            second.nodes().forEach((name, node) -> {
                nodes.merge(name, node, SecondCounts.NodeCounts::plus);
                all = all.plus(node);
            });
        }

        /** Returns the maximum of a count at one node, without the sum of the other nodes. */
        int maxAtOneNode(ToIntFunction<SecondCounts.NodeCounts> figure) {
            return nodes.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(SecondCounts.OTHERS))
                    .mapToInt(entry -> figure.applyAsInt(entry.getValue()))
                    .max()
                    .orElse(0);
        }

        public int taken() {
            return taken;
        }

        public int served() {
            return served;
        }

        public SecondCounts.NodeCounts all() {
            return all;
        }
    }

    /** A named figure of the sum. */
    public record Figure(String name, double value) {}

    private final TreeMap<Long, FleetSecond> seconds = new TreeMap<>();
    /** The times at which sidecars first knew a version, by version. */
    private final Map<Long, List<Double>> knownSinceByVersion = new TreeMap<>();

    private final StageTimes stages = new StageTimes();
    private final Set<String> sidecars = new HashSet<>();
    private final Set<String> nodes = new HashSet<>();
    private String sidecar = "";
    private long version = -1;
    private double atMs = Double.NaN;
    private int malformedLines;
    private int outlierSeconds;

    /** Starts the log of a sidecar; the lines that follow belong to it. */
    public void startLog(String name) {
        sidecar = name;
        version = -1;
        atMs = Double.NaN;
    }

    /** Adds a line. Lines without counts are ignored, and malformed ones are counted. */
    public void addLine(String text) {
        Matcher shedLine = SHED_LINE.matcher(text);
        if (shedLine.find()) {
            addShed(shedLine);
            return;
        }
        try {
            SecondCounts second = SecondCounts.parse(text);
            if (second != null) {
                add(second);
            }
        } catch (IllegalArgumentException e) {
            malformedLines++;
        }
    }

    private void add(SecondCounts second) {
        long at = (long) Math.floor(second.atMs() / 1000);
        if (!seconds.isEmpty() && Math.abs(at - seconds.keySet().iterator().next()) > MAX_SPAN_SECONDS) {
            outlierSeconds++;
            return;
        }
        sidecars.add(sidecar);
        nodes.addAll(second.nodes().keySet());
        atMs = second.atMs();
        seconds.computeIfAbsent(at, unseen -> new FleetSecond()).add(second);
        stages.add(second.stages());
        if (second.version() > version) {
            version = second.version();
            knownSinceByVersion
                    .computeIfAbsent(version, unseen -> new ArrayList<>())
                    .add(atMs);
        }
    }

    /** Adds a line of the decision module, which has no time of its own and belongs to the last counts before it. */
    private void addShed(Matcher line) {
        if (Double.isNaN(atMs)) {
            return;
        }
        FleetSecond second = seconds.computeIfAbsent((long) Math.floor(atMs / 1000), unseen -> new FleetSecond());
        Matcher cause = CAUSE.matcher(line.group(1));
        while (cause.find()) {
            second.shed.merge(cause.group(1), Integer.parseInt(cause.group(2)), Integer::sum);
        }
        second.members += number(line.group(3));
        second.full += number(line.group(4));
        second.shedLines++;
    }

    private static int number(String digits) {
        return digits.length() > 9 ? Integer.MAX_VALUE / 4 : Integer.parseInt(digits);
    }

    /** Returns the number of malformed lines, and of seconds too far from the others. */
    public int skippedLines() {
        return malformedLines + outlierSeconds;
    }

    public int sidecars() {
        return sidecars.size();
    }

    public Map<Long, FleetSecond> seconds() {
        return seconds;
    }

    /** Returns the figures of the sum. */
    public List<Figure> figures() {
        double requests = Math.max(
                1, seconds.values().stream().mapToInt(FleetSecond::taken).sum());
        SecondCounts.NodeCounts all = seconds.values().stream()
                .map(FleetSecond::all)
                .reduce(SecondCounts.NodeCounts.ZERO, SecondCounts.NodeCounts::plus);
        List<Figure> figures = new ArrayList<>();
        figures.add(new Figure("sidecars", sidecars.size()));
        figures.add(new Figure(
                "nodes",
                nodes.stream().filter(name -> !name.equals(SecondCounts.OTHERS)).count()));
        figures.add(new Figure("seconds", seconds.size()));
        figures.add(new Figure("requests taken", requests));
        figures.add(new Figure(
                "served, of those taken",
                seconds.values().stream().mapToInt(FleetSecond::served).sum() / requests));
        figures.add(new Figure("attempts for each request", all.sent() / requests));
        figures.add(new Figure("connections begun for each request", all.started() / requests));
        figures.add(new Figure("connections not come up, for each request", all.failed() / requests));
        figures.add(new Figure("attempts timed out, for each request", all.timedOut() / requests));
        figures.add(new Figure("attempts turned away, for each request", all.rejected() / requests));
        figures.add(new Figure(
                "connections begun at one node in its worst second", maxInAnySecond(SecondCounts.NodeCounts::started)));
        figures.add(new Figure("connections held at one node at most", maxInAnySecond(SecondCounts.NodeCounts::held)));
        figures.add(new Figure(
                "attempts at one node just back in its worst second",
                maxInAnySecond(SecondCounts.NodeCounts::justBack)));
        figures.add(new Figure(
                "attempts at one cold node in its worst second", maxInAnySecond(SecondCounts.NodeCounts::cold)));
        figures.add(new Figure(
                "calls to discovery in the worst second",
                seconds.values().stream().mapToInt(s -> s.calls).max().orElse(0)));
        figures.add(new Figure(
                "calls to discovery that failed",
                seconds.values().stream()
                        .flatMap(s -> s.callsFailed.values().stream())
                        .mapToInt(count -> count)
                        .sum()));
        figures.add(new Figure(
                "given up for each request",
                seconds.values().stream()
                                .flatMap(s -> s.shed.values().stream())
                                .mapToInt(count -> count)
                                .sum()
                        / requests));
        figures.add(new Figure(
                "members drawn from, where requests were given up",
                seconds.values().stream().mapToInt(s -> s.members).sum()
                        / (double) Math.max(
                                1,
                                seconds.values().stream()
                                        .mapToInt(s -> s.shedLines)
                                        .sum())));
        figures.add(new Figure("event loop late, ms, at the 99th percentile of seconds", lateAtTailMs()));
        figures.add(new Figure("ms until nine in ten sidecars knew of a change, in the median", medianSpreadMs()));
        figures.addAll(stageFigures());
        return figures;
    }

    /** Returns the times by stage; none where the logs are of a version without them. */
    private List<Figure> stageFigures() {
        List<Figure> figures = new ArrayList<>();
        for (Stage stage : Stage.values()) {
            if (stages.count(stage) > 0) {
                String name = "stage " + stage.key() + ": ";
                figures.add(new Figure(name + "times", stages.count(stage)));
                figures.add(new Figure(name + "mean, ms", stages.meanMs(stage)));
                figures.add(new Figure(name + "median, ms", stages.percentileMs(stage, MEDIAN_PERCENTILE)));
                figures.add(new Figure(name + "99th percentile, ms", stages.percentileMs(stage, TAIL_PERCENTILE)));
            }
        }
        return figures;
    }

    /** Returns the seconds from a Unix time until the served share is as in the 5 s before, and stays so for 5 s. */
    public double toFullService(double faultS) {
        if (seconds.isEmpty()) {
            return Double.NaN;
        }
        long first = seconds.keySet().iterator().next();
        int count = (int) (seconds.lastKey() - first) + 1;
        return RecoveryTime.seconds(
                second -> {
                    FleetSecond counts = seconds.get(first + second);
                    return counts == null || counts.served + counts.notServed == 0
                            ? Double.NaN
                            : counts.served / (double) (counts.served + counts.notServed);
                },
                count,
                faultS - first);
    }

    private double maxInAnySecond(ToIntFunction<SecondCounts.NodeCounts> figure) {
        return seconds.values().stream()
                .mapToInt(second -> second.maxAtOneNode(figure))
                .max()
                .orElse(0);
    }

    private double lateAtTailMs() {
        double[] late = seconds.values().stream()
                .mapToDouble(second -> second.maxLateMs)
                .sorted()
                .toArray();
        return late.length == 0 ? 0 : late[(int) (0.99 * (late.length - 1))];
    }

    /** Returns the median spread of the versions known to at least half of the sidecars; the others were overtaken. */
    private double medianSpreadMs() {
        double[] spreads = knownSinceByVersion.values().stream()
                .filter(times -> 2 * times.size() >= sidecars.size())
                .mapToDouble(times -> {
                    List<Double> sorted = times.stream().sorted().toList();
                    return sorted.get((int) (0.9 * (sorted.size() - 1))) - sorted.get(0);
                })
                .sorted()
                .toArray();
        return spreads.length == 0 ? 0 : spreads[spreads.length / 2];
    }

    /** Returns a table with a line for each second. */
    public List<String> table() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "%4s %5s %6s %6s %6s | %6s %5s %5s %5s %6s %6s | %5s %5s %5s | %5s %5s | %4s %5s | %s",
                "s",
                "alive",
                "taken",
                "served",
                "not",
                "sent",
                "new",
                "cold",
                "t-out",
                "away",
                "not up",
                "begun",
                "held",
                "idle",
                "begun",
                "held",
                "late",
                "calls",
                "given up; members, full"));
        long first = seconds.isEmpty() ? 0 : seconds.keySet().iterator().next();
        seconds.forEach((at, s) -> lines.add(String.format(
                Locale.ROOT,
                "%4d %5d %6d %6d %6d | %6d %5d %5d %5d %6d %6d | %5d %5d %5d | %5d %5d | %4.0f %5d | %s; %.1f, %.1f%s",
                at - first,
                s.sidecars,
                s.taken,
                s.served,
                s.notServed,
                s.all.sent(),
                s.all.justBack(),
                s.all.cold(),
                s.all.timedOut(),
                s.all.rejected(),
                s.all.failed(),
                s.all.started(),
                s.all.held(),
                s.all.idle(),
                s.maxAtOneNode(SecondCounts.NodeCounts::started),
                s.maxAtOneNode(SecondCounts.NodeCounts::held),
                s.maxLateMs,
                s.calls,
                s.shed,
                s.members / Math.max(1.0, s.shedLines),
                s.full / Math.max(1.0, s.shedLines),
                s.callsFailed.isEmpty() ? "" : "; calls failed " + s.callsFailed)));
        return lines;
    }

    /** Returns the figures that differ from those of another folder by half or more, the largest change first. */
    public List<String> against(FleetSum other) {
        List<Figure> ownFigures = figures();
        List<Figure> otherFigures = other.figures();
        record Change(String name, double before, double now, double factor) {}
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < ownFigures.size(); i++) {
            double now = ownFigures.get(i).value();
            double before = otherFigures.get(i).value();
            double factor = (now + 1e-3) / (before + 1e-3);
            if (factor >= 1.5 || factor <= 1 / 1.5) {
                changes.add(new Change(ownFigures.get(i).name(), before, now, factor));
            }
        }
        changes.sort(Comparator.comparingDouble(change -> -Math.abs(Math.log(change.factor))));
        return changes.stream()
                .map(change -> String.format(
                        Locale.ROOT,
                        "%s: %.3f from %.3f, %.1f times",
                        change.name,
                        change.now,
                        change.before,
                        change.factor))
                .toList();
    }

    /** Returns a line for each of the nodes with the most timed out attempts. */
    public List<String> mostTimedOut(int limit) {
        Map<String, SecondCounts.NodeCounts> whole = new TreeMap<>();
        seconds.values()
                .forEach(second ->
                        second.nodes.forEach((name, node) -> whole.merge(name, node, SecondCounts.NodeCounts::plus)));
        return whole.entrySet().stream()
                .sorted(Comparator.comparingInt((Map.Entry<String, SecondCounts.NodeCounts> entry) ->
                                -entry.getValue().timedOut())
                        .thenComparing(Map.Entry::getKey))
                .limit(limit)
                .map(entry -> String.format(
                        Locale.ROOT,
                        "%-24s %6d sent, of them %d when just back and %d cold; %d timed out, %d turned away; %d connections begun, %d not come up",
                        entry.getKey(),
                        entry.getValue().sent(),
                        entry.getValue().justBack(),
                        entry.getValue().cold(),
                        entry.getValue().timedOut(),
                        entry.getValue().rejected(),
                        entry.getValue().started(),
                        entry.getValue().failed()))
                .toList();
    }
}
