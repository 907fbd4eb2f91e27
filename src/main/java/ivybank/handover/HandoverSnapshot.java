package ivybank.handover;

/**
 * What one process leaves for the others of its sidecar.
 *
 * @param writtenMs by the machine's monotonic clock, in milliseconds: the wall clock may be stepped in between
 * @param inHand requests of clients that it has not answered yet
 * @param descriptors that it holds for connections
 * @param learned by the ids that discovery gives
 */
public record HandoverSnapshot(double writtenMs, int inHand, int descriptors, LearnedState<String> learned) {

    /** Word of a process that lives is at most this old. */
    private static final double FRESH_MS = 2000;
    /** What was learned before that is no better than nothing: machines and their neighbours have changed. */
    private static final double FORGOTTEN_MS = 60_000;
    /** The clocks of two processes on one machine differ by less. */
    private static final double LEAST_AGE_MS = -1000;

    public HandoverSnapshot {
        if (!(writtenMs > 0) || inHand < 0 || descriptors < 0) {
            throw new IllegalArgumentException("not what a process leaves");
        }
    }

    /** Whether the process that wrote it may still be at work. */
    public boolean isFresh(double nowMs) {
        double ageMs = nowMs - writtenMs;
        return ageMs >= LEAST_AGE_MS && ageMs <= FRESH_MS;
    }

    /**
     * How far it is believed, from 0 to 1: less with each second of its age, and not at all where it is of the future, for
     * then either clock is wrong.
     */
    public double confidence(double nowMs) {
        double ageMs = nowMs - writtenMs;
        return ageMs < LEAST_AGE_MS ? 0 : Math.max(0, Math.min(1, 1 - ageMs / FORGOTTEN_MS));
    }
}
