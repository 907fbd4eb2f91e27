package ivybank.handover;

/**
 * The state that one process publishes for the other processes of its sidecar.
 *
 * @param writtenMs the time by the machine's monotonic clock, in milliseconds, because the wall clock may be stepped meanwhile
 * @param unansweredRequests the number of client requests that it has not answered yet
 * @param descriptors the number of descriptors that it holds for connections
 * @param learned the learned state, by the node ids of discovery
 */
public record HandoverSnapshot(
        double writtenMs, int unansweredRequests, int descriptors, LearnedState<String> learned) {

    /** The snapshot of a running process is at most this old. */
    private static final double MAX_FRESH_AGE_MS = 2000;
    /** State older than this is useless, because machines and their neighbours have changed. */
    private static final double EXPIRY_MS = 60_000;
    /** The clocks of two processes on one machine differ by less than this. */
    private static final double MIN_AGE_MS = -1000;

    public HandoverSnapshot {
        if (!(writtenMs > 0) || unansweredRequests < 0 || descriptors < 0) {
            throw new IllegalArgumentException("invalid handover snapshot");
        }
    }

    /** Returns whether the process that wrote the snapshot may still be running. */
    public boolean isFresh(double nowMs) {
        double ageMs = nowMs - writtenMs;
        return ageMs >= MIN_AGE_MS && ageMs <= MAX_FRESH_AGE_MS;
    }

    /**
     * Returns the confidence in the snapshot, from 0 to 1. It decreases linearly with its age, and is 0 for a snapshot from the
     * future, because one of the clocks is wrong then.
     */
    public double confidence(double nowMs) {
        double ageMs = nowMs - writtenMs;
        return ageMs < MIN_AGE_MS ? 0 : Math.max(0, Math.min(1, 1 - ageMs / EXPIRY_MS));
    }
}
