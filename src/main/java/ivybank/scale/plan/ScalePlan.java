package ivybank.scale.plan;

import java.util.List;

/**
 * What a scale run measures.
 *
 * @param seeds one pass over all sizes for each
 * @param target the size for which the slopes are extrapolated
 * @param zones a zone's loss is one of so many parts
 */
public record ScalePlan(
        String name,
        List<Long> seeds,
        int target,
        int zones,
        Bounds bounds,
        ListPlan list,
        FleetPlan fleet,
        ViewPlan view,
        Beside beside) {

    public ScalePlan {
        seeds = List.copyOf(seeds);
    }

    /**
     * What the run may take of the machine, and when the machine counts as the limit.
     *
     * @param memoryMb of all its processes together
     * @param minutes no new point is begun after so long
     * @param busyPart see {@link ivybank.scale.result.MachineLimit}
     * @param lateMs the same
     */
    public record Bounds(int memoryMb, double minutes, double busyPart, double lateMs) {}

    /**
     * A list of growing length, followed by a few sidecars.
     *
     * @param sidecars hollow ones in one process
     * @param realSidecars processes of the jar beside them
     */
    public record ListPlan(List<Integer> sizes, int sidecars, int realSidecars, double changesPerS, double seconds) {
        public ListPlan {
            sizes = List.copyOf(sizes);
        }
    }

    /**
     * A growing fleet that follows a list with as many entries.
     *
     * @param processes that share the hollow sidecars
     */
    public record FleetPlan(
            List<Integer> sizes, int processes, double changesPerS, double seconds, double stopS, double cutS) {
        public FleetPlan {
            sizes = List.copyOf(sizes);
        }
    }

    /**
     * A growing fleet whose members keep a view of one another.
     *
     * @param longestS a view that has not settled by then counts as not settled
     */
    public record ViewPlan(List<Integer> sizes, int processes, double restS, double longestS) {
        public ViewPlan {
            sizes = List.copyOf(sizes);
        }
    }

    /** Whether a day with real sidecars and clients is played, and judged, beside the largest fleet. */
    public record Beside(boolean on, int sidecars, double lengthS) {}
}
