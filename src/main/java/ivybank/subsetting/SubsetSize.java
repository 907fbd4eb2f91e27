package ivybank.subsetting;

import java.util.HashSet;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * How many nodes a sidecar draws from: the design's small number, more for as long as those have no room for what its client
 * sends and that asks for more, and fewer again once they have had room to spare for a while. Guards against a busy sidecar
 * among quiet ones: with a third of the fleet's traffic on a sixth of its nodes it refused most of it while the other nodes
 * were idle, for a member more each second came too late. One whose members have room never grows, however many nodes there are.
 *
 * <p>Nothing is known of what the other sidecars do but what nodes report of their load. New members are the sample: they are
 * met with the load of the others alone. It grows fast only while those are found idle, and waits for their first reports
 * before it grows again. Guards against all sidecars that find their members full in an overloaded fleet: each went to all
 * nodes, and the handshakes and the one attempt that each may have at a node in any case overdrove them.
 *
 * <p>What a sidecar may need is bounded by its own traffic: as many nodes as it has requests in hand while nodes are quiet,
 * with room for chance, when each takes one. Where its members are full beyond that, they are full of others' requests, and
 * more neighbours only cost handshakes and places in the nodes' tables of connections. Guards against a hundred sidecars of
 * little traffic that all grow in a release, whose connections then take what the release has left of the nodes. For the
 * same reason many sidecars draw from fewer nodes each: no node has many more than {@link #NEIGHBOURS} of them at rest.
 */
public final class SubsetSize {

    /** The design's "about ten". */
    public static final int USUAL = 10;
    /** Sidecars that draw from a node at rest, where that leaves each enough nodes; and what is enough to compare them. */
    private static final double NEIGHBOURS = 8;

    private static final int FEWEST = 6;
    private static final double LEAST_OUT = 8; // attempts of all sidecars together that a node has room for
    /** Over which the traffic is averaged. */
    private static final double TRAFFIC_MS = 3000;

    private static final double LEAST_SEEN = 0.1; // of that time: a few requests tell nothing
    /** Deviations of the number of requests in hand, that there are to be places for. */
    private static final double DEVIATIONS = 2;
    /** Beyond what is needed, from which on members go: each that is added and goes costs handshakes. */
    private static final double SLACK = 1.5;

    private static final double SHED = 0.1; // of the size, in a tick
    /** Of the size, that a step without room adds where nodes report their load, and where they don't. */
    private static final double GROWTH = 0.5;

    private static final double BLIND_GROWTH = 0.1;
    /** Steps without a report after which it goes on: the aim of a request. */
    private static final int LONGEST_WAIT = 16;
    /** Steps between members that are added one by one, while those added last were found busy: a second. */
    private static final int SLOW = 11;
    /** Of its cores, that a node has in use that has no room to offer. */
    private static final double BUSY = 0.75;
    /** The same, of nodes that have more than they can do. */
    private static final double OVERLOADED = 0.95;

    private static final double SAMPLE_WEIGHT = 0.2;
    private static final double REPORT_WEIGHT = 0.02;
    /** Of the size, that goes in a tick of an overloaded fleet. */
    private static final double RETREAT = 0.05;
    /** Of the attempts without an answer, from which on nodes are jammed, and the weight of each. */
    private static final double MOST_LOST = 0.08;

    private static final double LOST_WEIGHT = 0.03;
    /** Share ticks with room to spare after which one goes. */
    private static final int CALM_TICKS = 10;

    /** New members without a report: far more than are ever drawn from. */
    static final int MOST_AWAITED = 4096;

    private final Set<Integer> awaited = new HashSet<>();
    private boolean reports;
    /** The load of new members as they were found, and of all members; the latest count most. */
    private double found;

    private double load;
    /** The part of the attempts that no answer came of; the latest count most. */
    private double lost;

    private final IntSupplier sidecars;
    private int counted;
    private int usual = USUAL;
    private int size = USUAL;
    private double inHand;
    private double firstAskedMs = Double.NaN;
    private double askedMs;
    private int lastAdded;
    private int steps;
    private boolean foundFull;
    private int calmTicks;

    /** {@code sidecars}: how many there are now, as far as is known. */
    public SubsetSize(IntSupplier sidecars) {
        this.sidecars = sidecars;
        this.counted = sidecars.getAsInt();
    }

    /** How many nodes are to be drawn from, where there are so many. */
    public int size() {
        return size;
    }

    /** This sidecar's part of what all may have out at one of so many nodes, as if they were alike. */
    public double leastWindow(int listed) {
        return LEAST_OUT * Math.max(1, listed / (double) size) / sidecars.getAsInt();
    }

    /** How many of so many nodes are to be drawn from. */
    public int of(int ready) {
        int before = usual;
        counted = sidecars.getAsInt();
        usual = (int) Math.max(FEWEST, Math.min(USUAL, Math.ceil(NEIGHBOURS * ready / counted)));
        size = size == before ? usual : Math.max(size, usual);
        return Math.min(size, ready);
    }

    /** Notes a client's request that quiet nodes would be busy with for so long; 0 for one that has been asked before. */
    public void asked(double nowMs, double quietMs) {
        if (Double.isNaN(firstAskedMs)) {
            firstAskedMs = nowMs;
            askedMs = nowMs;
        }
        inHand = inHand * Math.exp(-Math.max(0, nowMs - askedMs) / TRAFFIC_MS) + quietMs / TRAFFIC_MS;
        askedMs = nowMs;
    }

    /** How many nodes the sidecar's own traffic can need. */
    int needed() {
        // At the start there is less than the whole time to average over.
        double seen = 1 - Math.exp(-(askedMs - firstAskedMs) / TRAFFIC_MS);
        double mean = Double.isNaN(firstAskedMs) ? 0 : inHand / Math.max(LEAST_SEEN, seen);
        return (int) Math.max(usual, Math.ceil(mean + DEVIATIONS * Math.sqrt(mean)));
    }

    /** Notes whether a request found a member with room. */
    public void offered(boolean room) {
        foundFull |= !room;
        calmTicks = room ? calmTicks : 0;
    }

    /** Notes a new member. Those that left without a report are forgotten together: nodes come and go for as long as it runs. */
    public void added(int node) {
        if (awaited.size() >= MOST_AWAITED) {
            awaited.clear();
        }
        awaited.add(node);
    }

    /**
     * Notes what a member reports.
     *
     * @param warm whether it is: one that has just started has little in use, and no room all the same
     * @param fields of the report, empty for none
     * @param busy which of them is the part of its cores that is in use; under 0 where that is not reported
     */
    public void reported(int node, boolean warm, double[] fields, int busy) {
        boolean told = busy >= 0 && fields.length > busy;
        if (reports) {
            lost += LOST_WEIGHT * ((told ? 0 : 1) - lost);
        }
        if (!warm || !told) {
            return;
        }
        double used = Math.min(1, fields[busy]);
        load += REPORT_WEIGHT * (used - load);
        if (awaited.remove(node)) {
            found += SAMPLE_WEIGHT * (used - found);
            reports = true;
        }
    }

    /** New members whose first report is still to come, or never will. */
    int awaited() {
        return awaited.size();
    }

    /** Takes over the size of another process of the sidecar, if it needed more. */
    public void recall(int other) {
        size = Math.max(size, other);
    }

    /**
     * Ends a step, of a part of the shortest aim.
     *
     * @param members drawn from now
     * @param listed nodes that are known
     * @return whether the size has changed
     */
    public boolean step(int members, int listed) {
        steps++;
        boolean due =
                !reports || (found < BUSY ? 2 * awaited.size() <= lastAdded || steps > LONGEST_WAIT : steps > SLOW);
        int most = Math.min(listed, needed());
        boolean grows = foundFull && due && members >= size && size < most && lost < MOST_LOST;
        foundFull = false;
        if (grows) {
            double more = !reports ? BLIND_GROWTH * size : found < BUSY ? GROWTH * size : 1;
            lastAdded = Math.min(most - size, (int) Math.ceil(more));
            size += lastAdded;
            steps = 0;
            awaited.clear(); // those to come are the next sample
        }
        return grows;
    }

    /**
     * Ends a tick of the shares.
     *
     * @param spare whether at least half of the members' room is free
     * @param listed nodes that are known
     * @return whether the size may have changed
     */
    public boolean tick(boolean spare, int listed) {
        calmTicks = spare ? calmTicks + 1 : 0;
        // Where all are drawn from, or those met last were busy, no idle node is left to be found.
        boolean noneIdle = size >= listed || found >= BUSY;
        boolean overloaded = lost > 2 * MOST_LOST || load >= OVERLOADED && noneIdle;
        int fewer = size > SLACK * needed()
                ? (int) Math.ceil(SHED * size)
                : overloaded ? (int) Math.ceil(RETREAT * size) : calmTicks > CALM_TICKS ? 1 : 0;
        int before = size;
        size = Math.min(size, Math.max(usual, size - fewer));
        return size < before || sidecars.getAsInt() != counted;
    }
}
