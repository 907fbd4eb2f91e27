package ivybank.rehearsal.referee;

import ivybank.rehearsal.scenario.Scenario.RequestClass;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Service as the operators count it: the worth answered within the wanted time over the worth asked for, from the first
 * second on; a client's retries belong to their first try. Pure; one instance a day.
 */
public final class Service {

    private static final double WHOLE = 0.55;
    private static final double WORST_WINDOW = 0.15;
    private static final double WORST_CLASS = 0.30;
    private static final int WINDOW_S = 10;
    private static final long MOST_MS = 600_000;

    /** What a first try came to. */
    public enum Result {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        NO_CONNECTION
    }

    private final List<RequestClass> classes;
    private final double[][] asked; // by class and second
    private final double[][] earned;
    private final int[][] results; // by second and result
    private final Histogram latencies = new Histogram(MOST_MS, 3);
    private final Histogram fine = new Histogram(MOST_MS * 1000, 3);
    private final Histogram[] latenciesBySecond; // by second of the first try; null where nothing was served

    public Service(List<RequestClass> classes, double lengthS) {
        this.classes = List.copyOf(classes);
        int seconds = Math.max(1, (int) Math.ceil(lengthS));
        asked = new double[classes.size()][seconds];
        earned = new double[classes.size()][seconds];
        results = new int[seconds][Result.values().length];
        latenciesBySecond = new Histogram[seconds];
    }

    /** Counts a first try that came at {@code atMs} of the day and was served, if it was, after so many ms. */
    public void count(int requestClass, double atMs, Result result, double afterMs) {
        int second = Math.min(results.length - 1, (int) (atMs / 1000));
        double worth = classes.get(requestClass).worth();
        asked[requestClass][second] += worth;
        results[second][result.ordinal()]++;
        if (result == Result.IN_TIME) {
            earned[requestClass][second] += worth;
        }
        if (result == Result.IN_TIME || result == Result.LATE) {
            long ms = Math.min(MOST_MS, Math.max(0, Math.round(afterMs)));
            latencies.recordValue(ms);
            fine.recordValue(Math.min(MOST_MS * 1000, Math.max(0, Math.round(afterMs * 1000))));
            if (latenciesBySecond[second] == null) {
                latenciesBySecond[second] = new Histogram(MOST_MS, 2);
            }
            latenciesBySecond[second].recordValue(ms);
        }
    }

    /** How many came to a result, by second of the day and {@link Result}. */
    public int[][] results() {
        return results;
    }

    /** Times to answer of what was served, in ms. */
    public Histogram latencies() {
        return latencies;
    }

    /** Times to answer of what was served, in microseconds. */
    public Histogram fine() {
        return fine;
    }

    /** A percentile of the times to answer of what came in a second, in ms; NaN where nothing was served. */
    public double latencyMs(int second, double percentile) {
        Histogram own = latenciesBySecond[second];
        return own == null ? Double.NaN : own.getValueAtPercentile(percentile);
    }

    private static double part(double earned, double asked) {
        return asked == 0 ? 1 : earned / asked;
    }

    private double part(int requestClass, int from, int to) {
        double got = 0;
        double all = 0;
        for (int c = 0; c < asked.length; c++) {
            for (int s = from; s < to && (requestClass < 0 || requestClass == c); s++) {
                got += earned[c][s];
                all += asked[c][s];
            }
        }
        return part(got, all);
    }

    public double whole() {
        return part(-1, 0, results.length);
    }

    public double ofClass(int requestClass) {
        return part(requestClass, 0, results.length);
    }

    public double worstClass() {
        double worst = 1;
        for (int c = 0; c < asked.length; c++) {
            worst = Math.min(worst, ofClass(c));
        }
        return worst;
    }

    /** The worst ten seconds in a row; the whole day if it is shorter. */
    public double worstWindow() {
        double worst = whole();
        for (int from = 0; from + WINDOW_S <= results.length; from++) {
            worst = Math.min(worst, part(-1, from, from + WINDOW_S));
        }
        return worst;
    }

    /** The one figure, 0 to 1. */
    public double figure() {
        return WHOLE * whole() + WORST_WINDOW * worstWindow() + WORST_CLASS * worstClass();
    }

    /** Seconds with what came to what, for a report. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (int s = 0; s < results.length; s += WINDOW_S / 2) {
            int[] sum = new int[Result.values().length];
            for (int i = s; i < Math.min(results.length, s + WINDOW_S / 2); i++) {
                for (int r = 0; r < sum.length; r++) {
                    sum[r] += results[i][r];
                }
            }
            lines.add(String.format(
                    java.util.Locale.ROOT,
                    "%6d %8d %8d %8d %8d %14d  %5.1f%%",
                    s,
                    sum[0],
                    sum[1],
                    sum[2],
                    sum[3],
                    sum[4],
                    100 * part(-1, s, Math.min(results.length, s + WINDOW_S / 2))));
        }
        return lines;
    }
}
