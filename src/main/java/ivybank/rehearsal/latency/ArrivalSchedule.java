package ivybank.rehearsal.latency;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * When each request is due, drawn before the run: pairs of one direct request and one through the sidecar. Pairs arrive
 * by a Poisson process; the second request of a pair follows the first by half the mean gap, and a coin says which of the
 * two comes first. Nothing that happens in the run moves a due time (open loop).
 */
public final class ArrivalSchedule {

    private static final double NANOS_IN_S = 1e9;

    private final long[] dueNs;
    private final Route[] routes;
    private final int[] pairs;
    private final int pairCount;

    private ArrivalSchedule(long[] dueNs, Route[] routes, int[] pairs, int pairCount) {
        this.dueNs = dueNs;
        this.routes = routes;
        this.pairs = pairs;
        this.pairCount = pairCount;
    }

    /**
     * Draws a schedule.
     *
     * @param ratePerS pairs a second, which is the rate on each route
     * @param seconds how long pairs arrive; the last pair's second request may be due a little later
     * @param seed of the draw: the same seed gives the same schedule
     */
    public static ArrivalSchedule draw(double ratePerS, double seconds, long seed) {
        if (!(ratePerS > 0) || !(seconds > 0)) {
            throw new IllegalArgumentException("rate and seconds must be above 0: " + ratePerS + ", " + seconds);
        }
        SplittableRandom random = new SplittableRandom(seed);
        double meanGapNs = NANOS_IN_S / ratePerS;
        Arrival[] arrivals = new Arrival[0];
        int count = 0;
        int pair = 0;
        double atNs = gap(random, meanGapNs);
        while (atNs < seconds * NANOS_IN_S) {
            if (count + 2 > arrivals.length) {
                arrivals = Arrays.copyOf(arrivals, Math.max(64, 2 * arrivals.length));
            }
            boolean directFirst = random.nextBoolean();
            arrivals[count++] = new Arrival((long) atNs, directFirst ? Route.DIRECT : Route.THROUGH, pair);
            arrivals[count++] =
                    new Arrival((long) (atNs + meanGapNs / 2), directFirst ? Route.THROUGH : Route.DIRECT, pair);
            pair++;
            atNs += gap(random, meanGapNs);
        }
        return sorted(Arrays.copyOf(arrivals, count), pair);
    }

    private static double gap(SplittableRandom random, double meanNs) {
        return -Math.log(1 - random.nextDouble()) * meanNs;
    }

    private static ArrivalSchedule sorted(Arrival[] arrivals, int pairCount) {
        Arrays.sort(arrivals, (one, other) -> Long.compare(one.dueNs(), other.dueNs()));
        long[] dueNs = new long[arrivals.length];
        Route[] routes = new Route[arrivals.length];
        int[] pairs = new int[arrivals.length];
        for (int i = 0; i < arrivals.length; i++) {
            dueNs[i] = arrivals[i].dueNs();
            routes[i] = arrivals[i].route();
            pairs[i] = arrivals[i].pair();
        }
        return new ArrivalSchedule(dueNs, routes, pairs, pairCount);
    }

    /** How many requests there are, on both routes. */
    public int size() {
        return dueNs.length;
    }

    /** How many pairs there are. */
    public int pairCount() {
        return pairCount;
    }

    /** When a request is due, in nanoseconds from the start of the run. Never falls with the request's number. */
    public long dueNs(int request) {
        return dueNs[request];
    }

    public Route route(int request) {
        return routes[request];
    }

    /** The number of the pair that a request belongs to, from 0. */
    public int pair(int request) {
        return pairs[request];
    }

    private record Arrival(long dueNs, Route route, int pair) {}
}
