package ivybank.roster;

/**
 * How many nodes a sidecar draws from: the design's small number, more for as long as those have no room for what its client
 * sends, and fewer again once they have had room to spare for a while. Guards against a busy sidecar among quiet ones: with
 * a third of the fleet's traffic on a sixth of its nodes it refused most of it while the other nodes were idle, for a member
 * more each second came too late. One whose members have room never grows, however many nodes there are.
 *
 * <p>Nothing is known of what the other sidecars do. If all of them find their members full at once, each adds a tenth in a
 * step, so that a node gets at most a tenth more new neighbours in a step, whatever the number of sidecars.
 */
public final class SubsetSize {

    /** The design's "about ten". */
    public static final int USUAL = 10;
    /** Of the size, that a step without room adds: new members must show what they take before more are added. */
    private static final double GROWTH = 0.1;
    /** Share ticks with room to spare after which one goes. */
    private static final int CALM_TICKS = 10;

    private int size = USUAL;
    private boolean foundFull;
    private int calmTicks;

    /** How many nodes are to be drawn from, where there are so many. */
    public int size() {
        return size;
    }

    /** Notes whether a request found a member with room. */
    public void offered(boolean found) {
        foundFull |= !found;
        calmTicks = found ? calmTicks : 0;
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
        boolean grows = foundFull && members >= size && size < listed;
        foundFull = false;
        size = grows ? Math.min(listed, size + (int) Math.ceil(GROWTH * size)) : size;
        return grows;
    }

    /**
     * Ends a tick of the shares.
     *
     * @param spare whether at least half of the members' room is free
     * @return whether the size has changed
     */
    public boolean tick(boolean spare) {
        calmTicks = spare ? calmTicks + 1 : 0;
        boolean shrinks = calmTicks > CALM_TICKS && size > USUAL;
        size = shrinks ? size - 1 : size;
        return shrinks;
    }
}
