package ivybank.rehearsal.scenario;

import java.util.List;

/**
 * A day to rehearse: a fleet, classes of requests, traffic and a time line of faults. Times are in seconds from the first
 * request where a name ends in S, in milliseconds where it ends in Ms; a pair is a range that a draw picks from.
 */
public record Scenario(String name, String title, double lengthS, long seed, Fleet fleet, List<Kind> kinds, Cold cold,
                       Choke choke, List<RequestClass> classes, Traffic traffic, Clients clients, Limits limits, Rules rules,
                       Roster roster, List<Fault> faults, Floor floor) {

    /** What a second run of a request would do, by the protocol. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /** What goes wrong. */
    public enum FaultKind {
        /** Nodes accept requests and answer none. */
        SILENT,
        /** Another program takes part of the nodes' machines. */
        SLOW,
        /** Nodes are replaced in batches: drained, ended, followed by cold ones under new names. */
        DEPLOY,
        /** Nodes end at once, their connections are reset and nobody listens; the roster tells so late. */
        DIE,
        /** Nodes' machines are cut off: connections stay open and say nothing. */
        VANISH,
        /** Nodes spoil a part of their answers. */
        SPOIL,
        /** What lies between breaks a part of the exchanges, and node and sidecar each see something else of it. */
        BREAK,
        /** Nodes end at once; after a while others, cold and under new names, listen at the same addresses. */
        REPLACE,
        /** Sidecars are killed and started again. */
        KILL,
        /** Sidecars are told to end, and started again. */
        TERM,
        /** Discovery says nothing. */
        ROSTER_SILENT,
        /** Discovery sends a line that can't be read. */
        ROSTER_ODD,
        /** Discovery moves to an address that is behind for a while. */
        ROSTER_OLD,
        /** Discovery moves: the configuration is replaced and the sidecars are signalled. */
        ROSTER_MOVE
    }

    public record Fleet(int nodes, int sites) {
    }

    /** A kind of node: cores, speed of a core against the yardstick, room, connections it bears and what one costs. */
    public record Kind(String name, double share, int cores, double[] speed, int queuePerCore, int connections,
                       double connectMs) {
    }

    /** How a started node warms up, and how it falls over: sent so many times its capacity for so long. */
    public record Cold(double from, double warmS, double fallMultiple, double fallS) {
    }

    /**
     * A node that holds more than its cores and {@code at} times their root for so long turns so many times slower, until
     * it has held less than its cores for a while. {@code slower} 1: never.
     */
    public record Choke(double at, double overS, double slower, double restS) {
    }

    /**
     * A class of requests. Nodes drop the repeats of a keyed one for {@code windowMs}, all together or, with
     * {@code bySite}, those of one site.
     */
    public record RequestClass(String name, double share, double[] workMs, double[] waitMs, double aimMs,
                               double deadlineMs, double worth, Effect effect, boolean bySite, double windowMs) {
    }

    /** Requests a second in all; the share of the first sidecar against an even one; a swing over the day, in parts. */
    public record Traffic(double rate, int sidecars, double skew, double swing) {
    }

    /**
     * Tries are given up after a share of the deadline; retries wait as long as they are told, or {@code backoffMs};
     * {@code rubbish} clients that send what can't be used come with each request. With {@code named} all tries of a request
     * carry one name, and {@code askAgain} of those that were served are asked for once more, some seconds later.
     */
    public record Clients(int retries, double[] tryShare, double[] backoffMs, double honour, double rubbish,
                          boolean named, double askAgain) {
    }

    public record Limits(int memoryMb, int sockets, int attempts) {
    }

    public record Rules(double drainGraceMs, double marginMs) {
    }

    /** How late each change reaches a sidecar, and after what time it counts as told all the same. */
    public record Roster(double[] noticeMs, double toldMs) {
    }

    /**
     * One fault: when, for how long, on what part of the nodes or sidecars; {@code size} and {@code extra} as the kind
     * needs them. With {@code like} it meets those that the fault of this number meets, counted from 1; 0 for a draw of its
     * own.
     */
    public record Fault(FaultKind kind, double atS, double forS, double part, double size, double extra, int like) {
    }

    /** What service must be reached at least, 0 to 1. */
    public record Floor(double service) {
    }

    public Scenario {
        kinds = List.copyOf(kinds);
        classes = List.copyOf(classes);
        faults = List.copyOf(faults);
    }
}
