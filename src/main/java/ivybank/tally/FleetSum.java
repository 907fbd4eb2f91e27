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
 * The counts of all sidecars, added up by second and by node. Seconds are those of the sidecars' clocks: each second of a
 * sidecar is added to the second in which it ended.
 */
public final class FleetSum {

    private static final Pattern GIVEN_UP =
            Pattern.compile("given up within \\d+ ms: \\{([A-Z_0-9=, ]*)\\}; admitting (\\d+)%; of (\\d+)"
                    + " members (\\d+) full, (\\d+) cold, (\\d+) set aside");
    private static final Pattern CAUSE = Pattern.compile("([A-Z_]+)=(\\d{1,9})");
    private static final double MEDIAN = 50;
    private static final double NEARLY_ALL = 99;
    /** No fleet lives longer in one folder of logs: what lies farther apart is a clock that was set. */
    static final int MOST_SECONDS = 7 * 24 * 3600;

    /** All sidecars in one second. */
    public static final class InSecond {
        private int sidecars;
        private int taken;
        private int served;
        private int notServed;
        private int calls;
        private double mostLateMs;
        private int members;
        private int full;
        private int told;
        private SecondCounts.NodeCounts all = SecondCounts.NodeCounts.ZERO;
        private final Map<String, Integer> callsFailed = new TreeMap<>();
        private final Map<String, Integer> givenUp = new TreeMap<>();
        private final Map<String, SecondCounts.NodeCounts> nodes = new TreeMap<>();

        private void add(SecondCounts second) {
            sidecars++;
            taken += second.taken();
            served += second.served();
            notServed += second.notServed();
            calls += second.calls();
            mostLateMs = Math.max(mostLateMs, second.lateMs());
            second.callsFailed().forEach((how, count) -> callsFailed.merge(how, count, Integer::sum));
            second.nodes().forEach((name, node) -> {
                nodes.merge(name, node, SecondCounts.NodeCounts::plus);
                all = all.plus(node);
            });
        }

        /** The most of a figure at one node; what has no place of its own is no node. */
        int most(ToIntFunction<SecondCounts.NodeCounts> figure) {
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

    /** One figure of the whole. */
    public record Figure(String name, double value) {}

    private final TreeMap<Long, InSecond> seconds = new TreeMap<>();
    /** By version, when each sidecar first knew it. */
    private final Map<Long, List<Double>> known = new TreeMap<>();

    private final StageTimes stages = new StageTimes();
    private final Set<String> sidecars = new HashSet<>();
    private final Set<String> nodes = new HashSet<>();
    private String sidecar = "";
    private long version = -1;
    private double atMs = Double.NaN;
    private int unreadable;
    private int strayed;

    /** What follows is one sidecar's log. */
    public void begin(String name) {
        sidecar = name;
        version = -1;
        atMs = Double.NaN;
    }

    /** Takes a line; those that say nothing of counts are passed over, and one that is damaged is counted. */
    public void line(String text) {
        Matcher givenUp = GIVEN_UP.matcher(text);
        if (givenUp.find()) {
            givenUp(givenUp);
            return;
        }
        try {
            SecondCounts second = SecondCounts.parse(text);
            if (second != null) {
                add(second);
            }
        } catch (IllegalArgumentException e) {
            unreadable++;
        }
    }

    private void add(SecondCounts second) {
        long at = (long) Math.floor(second.atMs() / 1000);
        if (!seconds.isEmpty() && Math.abs(at - seconds.keySet().iterator().next()) > MOST_SECONDS) {
            strayed++;
            return;
        }
        sidecars.add(sidecar);
        nodes.addAll(second.nodes().keySet());
        atMs = second.atMs();
        seconds.computeIfAbsent(at, unseen -> new InSecond()).add(second);
        stages.add(second.stages());
        if (second.version() > version) {
            version = second.version();
            known.computeIfAbsent(version, unseen -> new ArrayList<>()).add(atMs);
        }
    }

    /** The module's own line of a second has no time; it is that of the last counts before it. */
    private void givenUp(Matcher line) {
        if (Double.isNaN(atMs)) {
            return;
        }
        InSecond second = seconds.computeIfAbsent((long) Math.floor(atMs / 1000), unseen -> new InSecond());
        Matcher cause = CAUSE.matcher(line.group(1));
        while (cause.find()) {
            second.givenUp.merge(cause.group(1), Integer.parseInt(cause.group(2)), Integer::sum);
        }
        second.members += number(line.group(3));
        second.full += number(line.group(4));
        second.told++;
    }

    private static int number(String digits) {
        return digits.length() > 9 ? Integer.MAX_VALUE / 4 : Integer.parseInt(digits);
    }

    /** Lines that were cut or damaged, and seconds that lie too far from the others. */
    public int skippedLines() {
        return unreadable + strayed;
    }

    public int sidecars() {
        return sidecars.size();
    }

    public Map<Long, InSecond> seconds() {
        return seconds;
    }

    /** What the whole comes to. */
    public List<Figure> figures() {
        double requests =
                Math.max(1, seconds.values().stream().mapToInt(InSecond::taken).sum());
        SecondCounts.NodeCounts all = seconds.values().stream()
                .map(InSecond::all)
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
                seconds.values().stream().mapToInt(InSecond::served).sum() / requests));
        figures.add(new Figure("attempts for each request", all.sent() / requests));
        figures.add(new Figure("connections begun for each request", all.begun() / requests));
        figures.add(new Figure("connections not come up, for each request", all.notUp() / requests));
        figures.add(new Figure("attempts timed out, for each request", all.timedOut() / requests));
        figures.add(new Figure("attempts turned away, for each request", all.turnedAway() / requests));
        figures.add(
                new Figure("connections begun at one node in its worst second", worst(SecondCounts.NodeCounts::begun)));
        figures.add(new Figure("connections held at one node at most", worst(SecondCounts.NodeCounts::held)));
        figures.add(new Figure(
                "attempts at one node just back in its worst second", worst(SecondCounts.NodeCounts::justBack)));
        figures.add(new Figure("attempts at one cold node in its worst second", worst(SecondCounts.NodeCounts::cold)));
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
                                .flatMap(s -> s.givenUp.values().stream())
                                .mapToInt(count -> count)
                                .sum()
                        / requests));
        figures.add(new Figure(
                "members drawn from, where requests were given up",
                seconds.values().stream().mapToInt(s -> s.members).sum()
                        / (double) Math.max(
                                1,
                                seconds.values().stream().mapToInt(s -> s.told).sum())));
        figures.add(new Figure("event loop late, ms, at the 99th percentile of seconds", lateness()));
        figures.add(new Figure("ms until nine in ten sidecars knew of a change, in the median", spread()));
        figures.addAll(stageFigures());
        return figures;
    }

    /** Where requests spent their time; none where the logs are of a version that didn't tell. */
    private List<Figure> stageFigures() {
        List<Figure> figures = new ArrayList<>();
        for (Stage stage : Stage.values()) {
            if (stages.count(stage) > 0) {
                String name = "stage " + stage.word() + ": ";
                figures.add(new Figure(name + "times", stages.count(stage)));
                figures.add(new Figure(name + "mean, ms", stages.meanMs(stage)));
                figures.add(new Figure(name + "median, ms", stages.percentileMs(stage, MEDIAN)));
                figures.add(new Figure(name + "99th percentile, ms", stages.percentileMs(stage, NEARLY_ALL)));
            }
        }
        return figures;
    }

    /** Seconds from an instant, Unix time in seconds, until as much of what is taken is served as in the 5 s before, and stays so for 5 s. */
    public double toFullService(double faultS) {
        if (seconds.isEmpty()) {
            return Double.NaN;
        }
        long first = seconds.keySet().iterator().next();
        int count = (int) (seconds.lastKey() - first) + 1;
        return RecoveryTime.seconds(
                second -> {
                    InSecond its = seconds.get(first + second);
                    return its == null || its.served + its.notServed == 0
                            ? Double.NaN
                            : its.served / (double) (its.served + its.notServed);
                },
                count,
                faultS - first);
    }

    private double worst(ToIntFunction<SecondCounts.NodeCounts> figure) {
        return seconds.values().stream()
                .mapToInt(second -> second.most(figure))
                .max()
                .orElse(0);
    }

    private double lateness() {
        double[] late = seconds.values().stream()
                .mapToDouble(second -> second.mostLateMs)
                .sorted()
                .toArray();
        return late.length == 0 ? 0 : late[(int) (0.99 * (late.length - 1))];
    }

    /** Of the versions that at least half of the sidecars came to know; the others were overtaken by the next. */
    private double spread() {
        double[] spreads = known.values().stream()
                .filter(times -> 2 * times.size() >= sidecars.size())
                .mapToDouble(times -> {
                    List<Double> sorted = times.stream().sorted().toList();
                    return sorted.get((int) (0.9 * (sorted.size() - 1))) - sorted.get(0);
                })
                .sorted()
                .toArray();
        return spreads.length == 0 ? 0 : spreads[spreads.length / 2];
    }

    /** A line for each second. */
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
                s.all.turnedAway(),
                s.all.notUp(),
                s.all.begun(),
                s.all.held(),
                s.all.idle(),
                s.most(SecondCounts.NodeCounts::begun),
                s.most(SecondCounts.NodeCounts::held),
                s.mostLateMs,
                s.calls,
                s.givenUp,
                s.members / Math.max(1.0, s.told),
                s.full / Math.max(1.0, s.told),
                s.callsFailed.isEmpty() ? "" : "; calls failed " + s.callsFailed)));
        return lines;
    }

    /** The figures that are out of proportion against another folder's: by half or more, the most changed first. */
    public List<String> against(FleetSum other) {
        List<Figure> mine = figures();
        List<Figure> its = other.figures();
        record Change(String name, double before, double now, double factor) {}
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < mine.size(); i++) {
            double now = mine.get(i).value();
            double before = its.get(i).value();
            double factor = (now + 1e-3) / (before + 1e-3);
            if (factor >= 1.5 || factor <= 1 / 1.5) {
                changes.add(new Change(mine.get(i).name(), before, now, factor));
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

    /** The nodes with the most attempts timed out: a line each. */
    public List<String> mostTimedOut(int most) {
        Map<String, SecondCounts.NodeCounts> whole = new TreeMap<>();
        seconds.values()
                .forEach(second ->
                        second.nodes.forEach((name, node) -> whole.merge(name, node, SecondCounts.NodeCounts::plus)));
        return whole.entrySet().stream()
                .sorted(Comparator.comparingInt((Map.Entry<String, SecondCounts.NodeCounts> entry) ->
                                -entry.getValue().timedOut())
                        .thenComparing(Map.Entry::getKey))
                .limit(most)
                .map(entry -> String.format(
                        Locale.ROOT,
                        "%-24s %6d sent, of them %d when just back and %d cold; %d timed out, %d turned away; %d connections begun, %d not come up",
                        entry.getKey(),
                        entry.getValue().sent(),
                        entry.getValue().justBack(),
                        entry.getValue().cold(),
                        entry.getValue().timedOut(),
                        entry.getValue().turnedAway(),
                        entry.getValue().begun(),
                        entry.getValue().notUp()))
                .toList();
    }
}
