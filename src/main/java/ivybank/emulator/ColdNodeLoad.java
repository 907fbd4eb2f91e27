package ivybank.emulator;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a node that has just started was sent, by all sidecars together, against what it may be sent before it falls: N + 2 x
 * root of N + 2 requests of mean work within {@link FleetSpec#OVERLOAD_MS}, where N is {@link FleetSpec#OVERLOAD_FACTOR} times
 * what it can do in that time as warm as it is then. Times are in milliseconds, work in milliseconds of a core at speed 1.
 */
final class ColdNodeLoad {

    private record Arrival(double atMs, double work, boolean request) {}

    private final double meanWork;
    private final Deque<Arrival> window = new ArrayDeque<>();
    private double work;
    private int requests;
    private double worstByWork;
    private double worstByRequests;

    /** {@code meanWork}: that of a request. */
    ColdNodeLoad(double meanWork) {
        this.meanWork = meanWork;
    }

    /** A request has come; {@code capacityPerMs}: what the node can do in a millisecond, as warm as it is. */
    void requested(double nowMs, double requestWork, double capacityPerMs) {
        arrived(new Arrival(nowMs, requestWork, true), capacityPerMs);
    }

    /** A connection has come that costs this work. */
    void connected(double nowMs, double handshakeWork, double capacityPerMs) {
        arrived(new Arrival(nowMs, handshakeWork, false), capacityPerMs);
    }

    private void arrived(Arrival arrival, double capacityPerMs) {
        while (!window.isEmpty() && window.peekFirst().atMs <= arrival.atMs - FleetSpec.OVERLOAD_MS) {
            Arrival old = window.pollFirst();
            work -= old.work;
            requests -= old.request ? 1 : 0;
        }
        window.addLast(arrival);
        work += arrival.work;
        requests += arrival.request ? 1 : 0;
        double allowed = allowedRequests(FleetSpec.OVERLOAD_FACTOR * FleetSpec.OVERLOAD_MS * capacityPerMs / meanWork);
        worstByWork = Math.max(worstByWork, work / meanWork / allowed);
        worstByRequests = Math.max(worstByRequests, requests / allowed);
    }

    /** How many requests of mean work may come where the settings allow {@code expected} in the mean. */
    static double allowedRequests(double expected) {
        return expected + 2 * Math.sqrt(expected) + 2;
    }

    /**
     * The most work that came within the window, handshakes included, over what was allowed then. Sidecars can't know how much
     * work a request is, so that chance has a part in it.
     */
    double worstByWork() {
        return worstByWork;
    }

    /** The most requests that came within the window over what was allowed then: what sidecars can hold to. */
    double worstByRequests() {
        return worstByRequests;
    }
}
