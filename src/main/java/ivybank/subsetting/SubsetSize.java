package ivybank.subsetting;

import java.util.HashSet;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Computes how many nodes a sidecar balances over. The subset starts at a small default, grows while its members have no free
 * capacity for the sidecar's traffic, and shrinks again once they have had free capacity for a while. A sidecar whose members
 * have free capacity never grows its subset, however many nodes there are. Growth has to be fast because of a busy sidecar
 * among quiet ones: one with a third of the fleet's traffic on a sixth of its nodes refused most of it while the other nodes
 * were idle, since adding one member a second was too slow.
 *
 * <p>A sidecar learns of the other sidecars' traffic only from the load that nodes report. New members serve as the sample,
 * because their first reports show the load of the other sidecars alone. The subset grows fast only while those reports show
 * idle nodes, and it waits for them before it grows again. Otherwise, in an overloaded fleet, every sidecar finds its members
 * full and expands to all nodes; the handshakes, and the one attempt that each sidecar may always have at a node, then overload
 * the nodes further.
 *
 * <p>The size is bounded by the sidecar's own traffic: one node for each request that it would have in flight if the nodes were
 * quiet, plus a margin for random variation. If its members are full beyond that, they are full of other sidecars' requests,
 * and more members only cost handshakes and entries in the nodes' connection tables. Without the bound, a hundred sidecars with
 * little traffic all grow during a rolling release, and their connections use up the capacity that the release has left. For the
 * same reason subsets are smaller when there are many sidecars: without growth, a node is in the subsets of about
 * {@link #SIDECARS_PER_NODE} of them, unless that would leave a sidecar too few nodes to compare.
 */
public final class SubsetSize {

    /** The default number of members, while nothing calls for fewer or more. */
    public static final int DEFAULT_SIZE = 10;
    /** Sidecars whose subsets contain the same node, as long as that leaves each sidecar {@link #MIN_SIZE} nodes. */
    private static final double SIDECARS_PER_NODE = 8;

    /** With fewer members their latencies cannot be compared. */
    private static final int MIN_SIZE = 6;
    /** Concurrent attempts of all sidecars together that a node can serve. */
    private static final double MIN_ATTEMPTS_PER_NODE = 8;
    /** Time constant of the exponential average of the traffic. */
    private static final double TRAFFIC_WINDOW_MS = 3000;

    private static final double MIN_OBSERVED_FRACTION = 0.1; // of the window: a few requests are too small a sample
    /** Standard deviations of the number of requests in flight that the subset has capacity for. */
    private static final double HEADROOM_DEVIATIONS = 2;
    /**
     * Ratio of the size to the needed size above which members are removed. It is well above 1 because each member that is
     * added and removed again costs handshakes.
     */
    private static final double EXCESS_RATIO = 1.5;

    private static final double EXCESS_REDUCTION = 0.1; // fraction of the size removed per tick
    /** Fraction of the size that is added in a step while nodes report their load and new members are idle. */
    private static final double GROWTH_WITH_REPORTS = 0.5;
    /** Fraction of the size that is added in a step while nodes report no load. */
    private static final double GROWTH_WITHOUT_REPORTS = 0.1;
    /** Steps after which growth continues without enough reports; together they take as long as the shortest aim. */
    private static final int MAX_WAIT_STEPS = 16;
    /** Steps between members that are added one by one while new members are found busy; about a second. */
    private static final int SLOW_GROWTH_STEPS = 11;
    /** CPU utilisation from which a node counts as having no free capacity. */
    private static final double BUSY_CPU = 0.75;
    /** Mean CPU utilisation from which nodes count as overloaded. */
    private static final double OVERLOADED_CPU = 0.95;

    private static final double NEW_MEMBER_WEIGHT = 0.2;
    private static final double REPORT_WEIGHT = 0.02;
    /** Fraction of the size that is removed per tick while the fleet is overloaded. */
    private static final double OVERLOAD_REDUCTION = 0.05;
    /** Fraction of attempts without an answer from which the subset no longer grows; above twice this it shrinks. */
    private static final double MAX_UNANSWERED = 0.08;

    private static final double UNANSWERED_WEIGHT = 0.03;
    /** Consecutive ticks with free capacity that must be exceeded before a member is removed. */
    private static final int MIN_CALM_TICKS = 10;

    /** Limit on the new members whose reports are awaited; far above the size of any subset. */
    static final int MAX_AWAITED_REPORTS = 4096;

    private final Set<Integer> awaitedReports = new HashSet<>();
    private boolean nodesReport;
    /** Moving average of the CPU utilisation in the first reports of new members. */
    private double newMemberLoad;

    /** Moving average of the CPU utilisation of all warm members. */
    private double meanLoad;
    /** Moving average of the fraction of attempts that ended without a report, so without an answer. */
    private double unanswered;

    private final IntSupplier sidecars;
    private int countedSidecars;
    /** The size without growth, for the number of nodes and sidecars at the last update. */
    private int baseSize = DEFAULT_SIZE;

    private int size = DEFAULT_SIZE;
    /** Moving average of the requests that would be in flight if the nodes were quiet. */
    private double baselineInFlight;

    private double firstRequestMs = Double.NaN;
    private double lastRequestMs;
    private int lastGrowth;
    private int stepsSinceGrowth;
    private boolean membersFull;
    private int calmTicks;

    /**
     * Creates a subset of the default size.
     *
     * @param sidecars supplies the current number of sidecars, as far as it is known
     */
    public SubsetSize(IntSupplier sidecars) {
        this.sidecars = sidecars;
        this.countedSidecars = sidecars.getAsInt();
    }

    /** Returns the wanted number of members, which may be more than there are nodes. */
    public int size() {
        return size;
    }

    /** Returns this sidecar's part of the attempts that a node can serve, if {@code listed} nodes and all sidecars were alike. */
    public double minConcurrency(int listed) {
        return MIN_ATTEMPTS_PER_NODE * Math.max(1, listed / (double) size) / sidecars.getAsInt();
    }

    /** Adjusts the size to the current number of sidecars and returns how many of {@code ready} nodes to balance over. */
    public int update(int ready) {
        int before = baseSize;
        countedSidecars = sidecars.getAsInt();
        baseSize = (int)
                Math.max(MIN_SIZE, Math.min(DEFAULT_SIZE, Math.ceil(SIDECARS_PER_NODE * ready / countedSidecars)));
        size = size == before ? baseSize : Math.max(size, baseSize);
        return Math.min(size, ready);
    }

    /** Records a client's request that quiet nodes would take {@code baselineMs} to serve; 0 for a client's retry. */
    public void requestReceived(double nowMs, double baselineMs) {
        if (Double.isNaN(firstRequestMs)) {
            firstRequestMs = nowMs;
            lastRequestMs = nowMs;
        }
        baselineInFlight = baselineInFlight * Math.exp(-Math.max(0, nowMs - lastRequestMs) / TRAFFIC_WINDOW_MS)
                + baselineMs / TRAFFIC_WINDOW_MS;
        lastRequestMs = nowMs;
    }

    /** Returns how many nodes the sidecar's own traffic can need. */
    int neededSize() {
        // At the start the traffic has been observed for less than the averaging window.
        double observed = 1 - Math.exp(-(lastRequestMs - firstRequestMs) / TRAFFIC_WINDOW_MS);
        double mean = Double.isNaN(firstRequestMs) ? 0 : baselineInFlight / Math.max(MIN_OBSERVED_FRACTION, observed);
        return (int) Math.max(baseSize, Math.ceil(mean + HEADROOM_DEVIATIONS * Math.sqrt(mean)));
    }

    /** Records whether a request found a member with free capacity. */
    public void memberOffered(boolean accepted) {
        membersFull |= !accepted;
        calmTicks = accepted ? calmTicks : 0;
    }

    /**
     * Records a new member whose first report is awaited. When too many are awaited, all are forgotten together: nodes that
     * leave without a report would otherwise accumulate for as long as the sidecar runs.
     */
    public void memberAdded(int node) {
        if (awaitedReports.size() >= MAX_AWAITED_REPORTS) {
            awaitedReports.clear();
        }
        awaitedReports.add(node);
    }

    /**
     * Records the load report of a member.
     *
     * @param warm whether the node is warm; a cold one uses little CPU and has no free capacity all the same
     * @param report the fields of the report, empty if there was none
     * @param cpuField the index of the CPU utilisation in the report; negative if it is not reported
     */
    public void reportReceived(int node, boolean warm, double[] report, int cpuField) {
        boolean reported = cpuField >= 0 && report.length > cpuField;
        if (nodesReport) {
            unanswered += UNANSWERED_WEIGHT * ((reported ? 0 : 1) - unanswered);
        }
        if (!warm || !reported) {
            return;
        }
        double cpu = Math.min(1, report[cpuField]);
        meanLoad += REPORT_WEIGHT * (cpu - meanLoad);
        if (awaitedReports.remove(node)) {
            newMemberLoad += NEW_MEMBER_WEIGHT * (cpu - newMemberLoad);
            nodesReport = true;
        }
    }

    /** Returns the number of new members without a report so far. */
    int awaitedReports() {
        return awaitedReports.size();
    }

    /** Takes over the size of another process of the sidecar if that was larger. */
    public void restore(int otherSize) {
        size = Math.max(size, otherSize);
    }

    /**
     * Grows the subset if its members were full and growth is due. Called once per control tick, a fraction of the shortest
     * aim.
     *
     * @param members the current number of members
     * @param listed the number of known nodes
     * @return whether the size has changed
     */
    public boolean step(int members, int listed) {
        stepsSinceGrowth++;
        boolean due = !nodesReport
                || (newMemberLoad < BUSY_CPU
                        ? 2 * awaitedReports.size() <= lastGrowth || stepsSinceGrowth > MAX_WAIT_STEPS
                        : stepsSinceGrowth > SLOW_GROWTH_STEPS);
        int maxSize = Math.min(listed, neededSize());
        boolean grows = membersFull && due && members >= size && size < maxSize && unanswered < MAX_UNANSWERED;
        membersFull = false;
        if (grows) {
            double growth = !nodesReport
                    ? GROWTH_WITHOUT_REPORTS * size
                    : newMemberLoad < BUSY_CPU ? GROWTH_WITH_REPORTS * size : 1;
            lastGrowth = Math.min(maxSize - size, (int) Math.ceil(growth));
            size += lastGrowth;
            stepsSinceGrowth = 0;
            awaitedReports.clear(); // the members added next are the next sample
        }
        return grows;
    }

    /**
     * Shrinks the subset if it is larger than needed. Called once per update of the shares.
     *
     * @param calm whether at least half of the members' capacity is free
     * @param listed the number of known nodes
     * @return whether the size may have changed
     */
    public boolean tick(boolean calm, int listed) {
        calmTicks = calm ? calmTicks + 1 : 0;
        // If all nodes are members, or the latest members were busy, there is no idle node left to find.
        boolean noneIdle = size >= listed || newMemberLoad >= BUSY_CPU;
        boolean overloaded = unanswered > 2 * MAX_UNANSWERED || meanLoad >= OVERLOADED_CPU && noneIdle;
        int reduction = size > EXCESS_RATIO * neededSize()
                ? (int) Math.ceil(EXCESS_REDUCTION * size)
                : overloaded ? (int) Math.ceil(OVERLOAD_REDUCTION * size) : calmTicks > MIN_CALM_TICKS ? 1 : 0;
        int before = size;
        size = Math.min(size, Math.max(baseSize, size - reduction));
        return size < before || sidecars.getAsInt() != countedSidecars;
    }
}
