package ivybank.fleet;

import java.util.List;

/**
 * A view at one instant.
 *
 * @param memberIndex of the sidecar whose view it is, with its life
 * @param digest equal where views are equal
 * @param settledForMs since the view has changed last, or a peer's was last seen to differ
 * @param aliveOthers others that live, by this view
 * @param addressCount that the list of addresses names
 * @param health 0 for good; more while it doubts itself
 */
public record ViewSnapshot(
        int memberIndex,
        long incarnation,
        long digest,
        double settledForMs,
        int aliveOthers,
        int addressCount,
        int health,
        List<MemberSnapshot> members,
        Counts counts) {

    /** One member; {@code accusers} are the seats of those who doubt it, empty for none. */
    public record MemberSnapshot(
            int memberIndex,
            String name,
            long incarnation,
            int version,
            String zone,
            MemberState state,
            List<Integer> accusers,
            boolean trusted) {}

    /** Sums since the start. {@code forged} counts accusations in this sidecar's name that it never made. */
    public record Counts(
            long sent,
            long received,
            long replayed,
            long stale,
            long unknown,
            long forged,
            long declaredDead,
            long rejoins) {}

    public ViewSnapshot {
        members = List.copyOf(members);
    }
}
