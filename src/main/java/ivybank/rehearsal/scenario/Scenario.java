package ivybank.rehearsal.scenario;

import java.util.List;

/**
 * A day to rehearse: a fleet, classes of requests, traffic and a time line of faults. Times are in seconds from the first
 * request where a name ends in S, in milliseconds where it ends in Ms; a pair is a range that a draw picks from.
 */
public record Scenario(
        String name,
        String title,
        double lengthS,
        long seed,
        Fleet fleet,
        List<Kind> kinds,
        Cold cold,
        Choke choke,
        List<RequestClass> classes,
        Traffic traffic,
        Clients clients,
        Limits limits,
        Rules rules,
        Roster roster,
        Peers peers,
        List<Fault> faults,
        Floor floor) {

    /** What a second run of a request would do, by the protocol. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

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
        /** Open watches fall silent and stay open; whoever calls anew is answered. */
        ROSTER_HUSH,
        /** Open watches are reset; whoever calls anew is answered. */
        ROSTER_RESET,
        /** Discovery moves to an address that is behind for a while. */
        ROSTER_OLD,
        /** Discovery moves: the configuration is replaced and the sidecars are signalled. */
        ROSTER_MOVE,
        /** Sidecars are cut off from the others, both ways; some may hear both sides. */
        PARTITION,
        /** What some sidecars send to some others is cut, lost, late, doubled, overtaken or throttled. */
        LINK,
        /** Sidecars' processes are stopped (SIGSTOP) and let go on. */
        FREEZE,
        /** Sidecars are started only then. */
        JOIN,
        /** Sidecars are killed and stay away. */
        LOSE,
        /** Sidecars are started a second time, with the same configuration, while they run. */
        TWICE,
        /** Faults between and of sidecars, drawn at random over a time. */
        STORM;

        /** Whether it meets sidecars; nodes otherwise. */
        public boolean ofSidecars() {
            return switch (this) {
                case KILL,
                        TERM,
                        ROSTER_SILENT,
                        ROSTER_ODD,
                        ROSTER_HUSH,
                        ROSTER_RESET,
                        ROSTER_OLD,
                        ROSTER_MOVE,
                        PARTITION,
                        LINK,
                        FREEZE,
                        JOIN,
                        LOSE,
                        TWICE,
                        STORM -> true;
                default -> false;
            };
        }
    }

    /** How many nodes there are, over how many sites. */
    public record Fleet(int nodes, int sites) {}

    /** A kind of node: cores, speed of a core against the yardstick, room, connections it bears and what one costs. */
    public record Kind(
            String name,
            double share,
            int cores,
            double[] speed,
            int queuePerCore,
            int connections,
            double connectMs) {}

    /** How a started node warms up, and how it falls over: sent so many times its capacity for so long. */
    public record Cold(double from, double warmS, double fallMultiple, double fallS) {}

    /**
     * A node that holds more than its cores and {@code at} times their root for so long turns so many times slower, until
     * it has held less than its cores for a while. {@code slower} 1: never.
     */
    public record Choke(double at, double overS, double slower, double restS) {}

    /**
     * A class of requests. Nodes drop the repeats of a keyed one for {@code windowMs}, all together or, with
     * {@code bySite}, those of one site.
     */
    public record RequestClass(
            String name,
            double share,
            double[] workMs,
            double[] waitMs,
            double aimMs,
            double deadlineMs,
            double worth,
            Effect effect,
            boolean bySite,
            double windowMs) {}

    /** Requests a second in all; the share of the first sidecar against an even one; a swing over the day, in parts. */
    public record Traffic(double rate, int sidecars, double skew, double swing) {}

    /**
     * Tries are given up after a share of the deadline; retries wait as long as they are told, or {@code backoffMs};
     * {@code rubbish} clients that send what can't be used come with each request. With {@code named} all tries of a request
     * carry one name, and {@code askAgain} of those that were served are asked for once more, some seconds later. Of all
     * tries {@code leaves} are left by their clients after {@code leaveMs}, long before their time.
     */
    public record Clients(
            int retries,
            double[] tryShare,
            double[] backoffMs,
            double honour,
            double rubbish,
            boolean named,
            double askAgain,
            double leaves,
            double leaveMs) {}

    /** What a sidecar may use: its heap in MB, its sockets, its attempts of a request. */
    public record Limits(int memoryMb, int sockets, int attempts) {}

    /** How long a drained node may still be sent to, and the tolerance of the checks, in milliseconds. */
    public record Rules(double drainGraceMs, double marginMs) {}

    /**
     * How late each change reaches a sidecar's agent, and after what time it counts as told all the same. With {@code atOnce} what
     * the agent has counts as told at once, whether or not a watch is open; the other time is then for silent watches only.
     * With {@code asked} sidecars are told that one discovery answers all of them, which they ask.
     */
    public record Roster(double[] noticeMs, double toldMs, boolean atOnce, boolean asked) {}

    /**
     * What sidecars know of one another. With {@code on}, each has a list of addresses, with {@code never} more that nobody ever
     * has, a key, and a door that the kit asks what it sees. An end is to be known after {@code knowS}, and all views to be true
     * {@code settleS} after each other change. A process that is stopped for no longer than {@code pauseS} is not to be given up.
     */
    public record Peers(boolean on, int never, double knowS, double settleS, double pauseS) {}

    /**
     * What happens to datagrams and bytes on some ways between sidecars.
     *
     * @param cut nothing comes
     * @param loss part of the datagrams that never comes
     * @param delayMs drawn for each
     * @param doubled part that comes twice
     * @param reordered part that is held back by so much more that others overtake it
     * @param kbPerS what comes through at most; infinite for all
     * @param forged part that is followed by a forgery: its sender is said to leave, and nobody has signed that
     * @param replayed part that comes once more some seconds later
     */
    public record Quality(
            boolean cut,
            double loss,
            double[] delayMs,
            double doubled,
            double reordered,
            double kbPerS,
            double forged,
            double replayed) {

        /** Nothing is wrong. */
        public static final Quality GOOD =
                new Quality(false, 0, new double[] {0, 0}, 0, 0, Double.POSITIVE_INFINITY, 0, 0);
        /** Nothing comes. */
        public static final Quality CUT =
                new Quality(true, 0, new double[] {0, 0}, 0, 0, Double.POSITIVE_INFINITY, 0, 0);

        /** Both at once. */
        public Quality and(Quality other) {
            return new Quality(
                    cut || other.cut,
                    1 - (1 - loss) * (1 - other.loss),
                    new double[] {delayMs[0] + other.delayMs[0], delayMs[1] + other.delayMs[1]},
                    1 - (1 - doubled) * (1 - other.doubled),
                    1 - (1 - reordered) * (1 - other.reordered),
                    Math.min(kbPerS, other.kbPerS),
                    Math.max(forged, other.forged),
                    Math.max(replayed, other.replayed));
        }
    }

    /**
     * Which ways a fault between sidecars meets, by their numbers: from one side to the other and, unless {@code oneWay}, back.
     * {@code bridge} are on neither side.
     */
    public record Ways(List<Integer> from, List<Integer> to, List<Integer> bridge, boolean oneWay, Quality quality) {

        public Ways {
            from = List.copyOf(from);
            to = List.copyOf(to);
            bridge = List.copyOf(bridge);
        }

        /** Whether it meets what one sidecar sends to another. */
        public boolean meets(int sender, int receiver) {
            return from.contains(sender) && to.contains(receiver)
                    || !oneWay && from.contains(receiver) && to.contains(sender);
        }
    }

    /**
     * One fault: when, for how long, on what part of the nodes or sidecars; {@code size} and {@code extra} as the kind
     * needs them. With {@code like} it meets those that the fault of this number meets, counted from 1; 0 for a draw of its
     * own. {@code members} are those that it meets where they are named; empty for a draw. {@code ways} is null but between
     * sidecars.
     */
    public record Fault(
            FaultKind kind,
            double atS,
            double forS,
            double part,
            double size,
            double extra,
            int like,
            List<Integer> members,
            Ways ways) {

        public Fault {
            members = List.copyOf(members);
        }
    }

    /** What service must be reached at least, 0 to 1. */
    public record Floor(double service) {}

    public Scenario {
        kinds = List.copyOf(kinds);
        classes = List.copyOf(classes);
        faults = List.copyOf(faults);
    }
}
