package ivybank.fleet;

import java.util.List;

/**
 * A view at one instant.
 *
 * @param memberIndex index of the member whose view this is
 * @param incarnation of that member
 * @param digest equal where two views hold the same members for alive, in the same incarnations, versions and states
 * @param settledForMs since the view last changed or last differed from a peer's
 * @param aliveOthers number of the other members that are alive
 * @param addressCount length of the list of addresses
 * @param health score of {@link LocalHealth}: 0 for healthy, up to 4
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

    /**
     * One member as the view sees it.
     *
     * @param accusers indexes of the members that accuse it, empty where nobody suspects it
     * @param trusted whether its accusations of others count
     */
    public record MemberSnapshot(
            int memberIndex,
            String name,
            long incarnation,
            int version,
            String zone,
            MemberState state,
            List<Integer> accusers,
            boolean trusted) {}

    /**
     * Counts since the start.
     *
     * @param sent messages sent
     * @param received messages received
     * @param replayed messages that came a second time
     * @param stale messages for or by an earlier incarnation
     * @param unknown messages and updates by or on members that can't be
     * @param forged accusations in this sidecar's name that it never made
     * @param declaredDead members that this sidecar declared dead
     * @param rejoins members that came back after they were declared dead or had left, this one among them
     */
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
