package ivybank.fleet;

import java.util.List;

/**
 * A view at one instant.
 *
 * @param seat of the sidecar whose view it is, with its life
 * @param digest equal where views are equal
 * @param settledForMs since the view has changed last, or a peer's was last seen to differ
 * @param peers others that live, by this view
 * @param seats that the list of addresses names
 * @param health 0 for good; more while it doubts itself
 */
public record ViewSnapshot(
        int seat,
        long life,
        long digest,
        double settledForMs,
        int peers,
        int seats,
        int health,
        List<Seen> members,
        Counts counts) {

    /** One member; {@code accusers} are the seats of those who doubt it, empty for none. */
    public record Seen(
            int seat,
            String name,
            long life,
            int turn,
            String zone,
            Standing standing,
            List<Integer> accusers,
            boolean heeded) {}

    /** Sums since the start. {@code forged} counts accusations in this sidecar's name that it never made. */
    public record Counts(
            long sent,
            long received,
            long replayed,
            long stale,
            long unknown,
            long forged,
            long givenUp,
            long returns) {}

    public ViewSnapshot {
        members = List.copyOf(members);
    }
}
