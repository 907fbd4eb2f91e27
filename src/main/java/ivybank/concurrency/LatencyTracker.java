package ivybank.concurrency;

import ivybank.handover.Confidence;
import ivybank.handover.LearnedState;

/** Tracks the running median latency of similar requests, and its value while the nodes are quiet; in milliseconds. */
public class LatencyTracker {

    private double typicalMs;
    private double quietMs; // 0 while unknown
    private int answers;

    protected LatencyTracker(double typicalMs) {
        this.typicalMs = typicalMs;
    }

    public double typicalMs() {
        return typicalMs;
    }

    /** Returns the latency of quiet nodes, or the typical latency until there are enough answers to know it. */
    public double quietMs() {
        return quietMs > 0 ? quietMs : typicalMs;
    }

    /** Records the latency of an answer. */
    public void answered(double latencyMs, double minStep) {
        answers++;
        moveTypical(latencyMs, minStep);
    }

    /** Moves the running median towards one latency, in steps that shrink to {@code minStep} as answers accumulate. */
    public void moveTypical(double latencyMs, double minStep) {
        // The step stays below 1: a first timeout below the typical latency
        // would set that to zero and every share to NaN.
        double step = Math.max(minStep, 1.0 / (2 + answers));
        typicalMs *= latencyMs > typicalMs ? 1 + step : 1 - step;
    }

    /** Ends a tick: once there are {@code minAnswers} answers, the quiet latency follows the typical one. */
    protected void tick(double minAnswers, double decay) {
        if (answers >= minAnswers) {
            quietMs = quietMs > 0 ? follow(quietMs, typicalMs, decay) : typicalMs;
        }
    }

    /**
     * Returns the next value of a floor that moves halfway to a lower value (the minimum of noisy values would drift down) and
     * otherwise rises slowly.
     */
    static double follow(double floor, double value, double decay) {
        return value < floor ? (floor + value) / 2 : floor * (1 + decay);
    }

    public LearnedState.ClassState learned() {
        return new LearnedState.ClassState(typicalMs, quietMs, answers);
    }

    /** Takes over the statistics of another process, weighted by a confidence between 0 and 1. */
    public void restore(LearnedState.ClassState other, double confidence) {
        typicalMs = Confidence.blend(typicalMs, other.typicalMs(), confidence);
        quietMs = other.quietMs() * confidence >= typicalMs / 2
                ? other.quietMs()
                : 0; // a doubtful value far below the typical latency would mislead
        answers = (int) (other.answers() * confidence);
    }
}
