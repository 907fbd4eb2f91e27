package ivybank.rehearsal.referee;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How sidecars come back, and what that costs others: for each start of a process how long it took to each step, and by second
 * what nodes and discovery had to bear. Told by the stand-ins; times in ms of the day.
 */
public final class Returns {

    /** One start, in ms from it; NaN for what never came: its first answer of discovery, ready, first attempt, first served. */
    public record Start(int sidecar, double atMs, double askedMs, double readyMs, double attemptMs, double servedMs) {}

    /** What others bore in a second. {@code begun} and {@code justBack} at the node that had most. */
    public record Borne(int begun, int justBack, int calls, int attempts) {}

    private static final class Mark {
        private final int sidecar;
        private final double atMs;
        private double askedMs = Double.NaN;
        private double readyMs = Double.NaN;
        private double attemptMs = Double.NaN;
        private double servedMs = Double.NaN;

        private Mark(int sidecar, double atMs) {
            this.sidecar = sidecar;
            this.atMs = atMs;
        }

        private Start start() {
            return new Start(sidecar, atMs, askedMs - atMs, readyMs - atMs, attemptMs - atMs, servedMs - atMs);
        }
    }

    private static final class Second {
        private final Map<String, Integer> begun = new HashMap<>();
        private final Map<String, Integer> justBack = new HashMap<>();
        private int calls;
        private int attempts;

        private static int most(Map<String, Integer> counts) {
            return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        }
    }

    private final List<Mark> marks = new ArrayList<>();
    private final Map<Integer, Mark> latest = new HashMap<>();
    private final TreeMap<Integer, Second> seconds = new TreeMap<>();

    private Second at(double nowMs) {
        return seconds.computeIfAbsent((int) Math.floor(nowMs / 1000), second -> new Second());
    }

    /** A sidecar's process is started. */
    public void started(int sidecar, double nowMs) {
        Mark mark = new Mark(sidecar, nowMs);
        marks.add(mark);
        latest.put(sidecar, mark);
    }

    public void ready(int sidecar, double nowMs) {
        Mark mark = latest.get(sidecar);
        if (mark != null && Double.isNaN(mark.readyMs)) {
            mark.readyMs = nowMs;
        }
    }

    /** Discovery was asked by a sidecar. */
    public void called(int sidecar, double nowMs) {
        at(nowMs).calls++;
        Mark mark = latest.get(sidecar);
        if (mark != null && Double.isNaN(mark.askedMs)) {
            mark.askedMs = nowMs;
        }
    }

    /** A node has a new connection. */
    public void connected(String host, double nowMs) {
        at(nowMs).begun.merge(host, 1, Integer::sum);
    }

    /** A sidecar's attempt has come to a node. */
    public void attempted(int sidecar, String host, boolean justBack, double nowMs) {
        Second second = at(nowMs);
        second.attempts++;
        if (justBack) {
            second.justBack.merge(host, 1, Integer::sum);
        }
        Mark mark = latest.get(sidecar);
        if (mark != null && Double.isNaN(mark.attemptMs)) {
            mark.attemptMs = nowMs;
        }
    }

    /** A client was served by a sidecar. */
    public void served(int sidecar, double nowMs) {
        Mark mark = latest.get(sidecar);
        if (mark != null && Double.isNaN(mark.servedMs)) {
            mark.servedMs = nowMs;
        }
    }

    public List<Start> starts() {
        return marks.stream().map(Mark::start).toList();
    }

    /** What was borne in a second of the day. */
    public Borne borne(int second) {
        Second its = seconds.get(second);
        return its == null
                ? new Borne(0, 0, 0, 0)
                : new Borne(Second.most(its.begun), Second.most(its.justBack), its.calls, its.attempts);
    }

    /** The most of each in the seconds of a span, each by itself. */
    public Borne worst(int from, int until) {
        Borne worst = new Borne(0, 0, 0, 0);
        for (int second = from; second < until; second++) {
            Borne one = borne(second);
            worst = new Borne(
                    Math.max(worst.begun, one.begun),
                    Math.max(worst.justBack, one.justBack),
                    Math.max(worst.calls, one.calls),
                    Math.max(worst.attempts, one.attempts));
        }
        return worst;
    }
}
