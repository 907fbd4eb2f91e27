package ivybank.rehearsal.latency;

import ivybank.rehearsal.latency.Observations.Outcome;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.IntToLongFunction;

/**
 * The statistics of one stretch of a run: times of what was served on each route, the differences within pairs of which
 * both were served, the generator's lateness, and how all requests ended.
 */
public final class RunSummary {

    private final Map<Route, Distribution> latencies = new EnumMap<>(Route.class);
    private final Map<Route, Distribution> lateness = new EnumMap<>(Route.class);
    private final Map<Route, Map<Outcome, Integer>> outcomes = new EnumMap<>(Route.class);
    private final Distribution pairedDifference;

    private RunSummary(Observations observations, IntPredicate included) {
        for (Route route : Route.values()) {
            IntPredicate counted =
                    request -> included.test(request) && observations.schedule().route(request) == route;
            IntPredicate served = request -> counted.test(request) && observations.outcome(request) == Outcome.SERVED;
            IntPredicate ended =
                    request -> counted.test(request) && observations.outcome(request) != Outcome.UNANSWERED;
            latencies.put(route, distribution(observations, served, observations::latencyNs));
            lateness.put(route, distribution(observations, ended, observations::latenessNs));
            outcomes.put(route, count(observations, counted));
        }
        pairedDifference = pairedDifference(observations, included);
    }

    /** Of the requests that were due from one time until before another, in nanoseconds from the run's start. */
    public static RunSummary of(Observations observations, long fromNs, long untilNs) {
        return new RunSummary(observations, request -> isDue(observations, request, fromNs, untilNs));
    }

    /**
     * The same of those for which the generator itself was late by no more than {@code mostLateNs}: what is left of a run that
     * was disturbed by others on the machine. It says where to look, and is no result.
     */
    public static RunSummary ofPunctual(Observations observations, long fromNs, long untilNs, long mostLateNs) {
        return new RunSummary(
                observations,
                request -> isDue(observations, request, fromNs, untilNs)
                        && observations.latenessNs(request) <= mostLateNs);
    }

    private static boolean isDue(Observations observations, int request, long fromNs, long untilNs) {
        long dueNs = observations.schedule().dueNs(request);
        return dueNs >= fromNs && dueNs < untilNs;
    }

    private static Distribution distribution(
            Observations observations, IntPredicate included, IntToLongFunction value) {
        int size = observations.schedule().size();
        long[] values = new long[size];
        int count = 0;
        for (int request = 0; request < size; request++) {
            if (included.test(request)) {
                values[count++] = value.applyAsLong(request);
            }
        }
        return new Distribution(Arrays.copyOf(values, count));
    }

    private static Map<Outcome, Integer> count(Observations observations, IntPredicate included) {
        Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);
        for (int request = 0; request < observations.schedule().size(); request++) {
            if (included.test(request)) {
                counts.merge(observations.outcome(request), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Through minus direct for each pair of which both requests were served and due in the stretch. */
    private static Distribution pairedDifference(Observations observations, IntPredicate included) {
        ArrivalSchedule schedule = observations.schedule();
        int[] members = new int[schedule.pairCount()];
        long[] differences = new long[schedule.pairCount()];
        for (int request = 0; request < schedule.size(); request++) {
            if (included.test(request) && observations.outcome(request) == Outcome.SERVED) {
                int sign = schedule.route(request) == Route.THROUGH ? 1 : -1;
                differences[schedule.pair(request)] += sign * observations.latencyNs(request);
                members[schedule.pair(request)]++;
            }
        }
        long[] whole = new long[schedule.pairCount()];
        int count = 0;
        for (int pair = 0; pair < members.length; pair++) {
            if (members[pair] == 2) {
                whole[count++] = differences[pair];
            }
        }
        return new Distribution(Arrays.copyOf(whole, count));
    }

    /** From due to the last byte of the answer, of what was served. */
    public Distribution latency(Route route) {
        return latencies.get(route);
    }

    /** How late the generator itself was, of what was answered. */
    public Distribution lateness(Route route) {
        return lateness.get(route);
    }

    /** Through minus direct, within pairs. */
    public Distribution pairedDifference() {
        return pairedDifference;
    }

    /** The percentile through the sidecar minus the same percentile of direct requests, in ms. */
    public double addedMs(double percentile) {
        return latency(Route.THROUGH).percentileMs(percentile)
                - latency(Route.DIRECT).percentileMs(percentile);
    }

    public int count(Route route, Outcome outcome) {
        return outcomes.get(route).getOrDefault(outcome, 0);
    }

    /** How many requests were due. */
    public int due(Route route) {
        return outcomes.get(route).values().stream().mapToInt(Integer::intValue).sum();
    }

    /** How many requests were due on both routes. */
    public int due() {
        return due(Route.DIRECT) + due(Route.THROUGH);
    }

    /** The part of those due that were served, from 0 to 1; 0 if none was due. */
    public double servedPart(Route route) {
        return due(route) == 0 ? 0 : (double) count(route, Outcome.SERVED) / due(route);
    }
}
