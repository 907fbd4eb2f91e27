package ivybank.emulator;

import ivybank.policy.Balancer.Contract;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Goal;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.Limits;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * A fleet and what happens to it. Times are in milliseconds.
 *
 * @param load of the nodes' true capacity, handshakes not counted
 * @param busy how many times the mean of the others' traffic the first sidecar has
 * @param idleMs after which a sidecar closes a connection that it does not use
 * @param seed of all that is drawn
 * @param told how many sidecars the settings name
 * @param viewed whether sidecars know by their own view how many there are
 * @param burst by how much more comes while the incident and what follows it last, as a factor of the usual traffic
 */
public record FleetSpec(
        int sidecars,
        int nodes,
        double load,
        double busy,
        double lengthMs,
        double idleMs,
        Incident incident,
        long seed,
        int told,
        boolean viewed,
        double burst) {

    /** A cold node falls when it is sent more than this multiple of what it can do, for this long. */
    static final double OVERLOAD_FACTOR = 2.5;

    static final double OVERLOAD_MS = 2000;

    public FleetSpec {
        require(sidecars >= 1 && nodes >= 1, "a fleet needs a sidecar and a node");
        require(told >= 1, "settings name a sidecar at least");
        require(load > 0 && load < 10, "load must be above 0 and under 10 times the capacity");
        require(lengthMs > 0 && lengthMs <= 600_000, "a run takes from 1 ms to 10 minutes");
        require(busy > 0 && idleMs >= 0, "times and traffic can't be negative");
        require(burst > 0 && burst < 10, "a burst must be above 0 and under 10 times the usual traffic");
    }

    /** A fleet at rest for 30 s. */
    public static FleetSpec atRest(int sidecars, int nodes, double load, long seed) {
        return new FleetSpec(sidecars, nodes, load, 1, 30_000, 3000, Incident.NONE, seed, sidecars, false, 1);
    }

    /** Half of the nodes are replaced while each sidecar is restarted once. */
    public FleetSpec withRelease() {
        return with(Incident.RELEASE);
    }

    /** Seven in ten sidecars are killed at once. */
    public FleetSpec withJointRestart() {
        return with(Incident.JOINT_RESTART);
    }

    /** A part of the nodes is silent for a while, without a word of discovery, and comes back cold. */
    public FleetSpec withReturn(double part, double forMs) {
        return with(new Incident(0, 0, false, 0, part, forMs));
    }

    private FleetSpec with(Incident next) {
        return new FleetSpec(sidecars, nodes, load, busy, lengthMs, idleMs, next, seed, told, viewed, burst);
    }

    /** One sidecar has so many times the traffic of each other. */
    public FleetSpec withBusy(double times) {
        return new FleetSpec(sidecars, nodes, load, times, lengthMs, idleMs, incident, seed, told, viewed, burst);
    }

    /** Another length. */
    public FleetSpec lasting(double ms) {
        return new FleetSpec(sidecars, nodes, load, busy, ms, idleMs, incident, seed, told, viewed, burst);
    }

    /** Another time for idle connections. */
    public FleetSpec holding(double ms) {
        return new FleetSpec(sidecars, nodes, load, busy, lengthMs, ms, incident, seed, told, viewed, burst);
    }

    /** The settings name another number of sidecars; {@code view}: they know better by themselves. */
    public FleetSpec toldOf(int number, boolean view) {
        return new FleetSpec(sidecars, nodes, load, busy, lengthMs, idleMs, incident, seed, number, view, burst);
    }

    /** From the incident on there is so many times the usual traffic. */
    public FleetSpec withBurst(double times) {
        return new FleetSpec(sidecars, nodes, load, busy, lengthMs, idleMs, incident, seed, told, viewed, times);
    }

    /** What each sidecar is told: two classes of requests, one of them not to be run twice. */
    Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        classes.add(new RequestClass("read", 1500, 6000, 3, 0, Effect.SAFE, Group.ALL, 0, false));
        classes.add(new RequestClass("submit", 1500, 6000, 10, 0, Effect.UNSAFE, Group.ALL, 0, false));
        return new Settings(
                classes,
                List.of(),
                told,
                false,
                false,
                5,
                0,
                List.of("rps", "cpu"),
                new Limits(6, true, true, false, 2000),
                new Contract(0.2, 15_000, OVERLOAD_FACTOR, OVERLOAD_MS, 15_000),
                new Goal(0.7, 0.3, 0, 0));
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }
}
