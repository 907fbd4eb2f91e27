package ivybank.concurrency;

import ivybank.handover.Confidence;
import ivybank.handover.LearnedState;

/** Tracks the running median latency of similar requests, and a baseline: its value while the nodes are quiet. */
public class LatencyTracker {

    private double medianMs;
    private double baselineMs; // 0 while unknown
    private int answers;

    protected LatencyTracker(double medianMs) {
        this.medianMs = medianMs;
    }

    public double medianMs() {
        return medianMs;
    }

    /** Returns the baseline, the latency of quiet nodes, or the median latency until there are enough answers to know it. */
    public double baselineMs() {
        return baselineMs > 0 ? baselineMs : medianMs;
    }

    /** Records the latency of an answer. */
    public void answered(double latencyMs, double minStep) {
        answers++;
        moveMedian(latencyMs, minStep);
    }

    /** Moves the running median towards one latency, in steps that shrink to {@code minStep} as answers accumulate. */
    public void moveMedian(double latencyMs, double minStep) {
        // The step stays below 1: a first timeout below the median latency
        // would set that to zero and every share to NaN.
        double step = Math.max(minStep, 1.0 / (2 + answers));
        medianMs *= latencyMs > medianMs ? 1 + step : 1 - step;
    }

    /** Ends a tick: once there are {@code minAnswers} answers, the baseline latency follows the median. */
    protected void tick(double minAnswers, double decay) {
        if (answers >= minAnswers) {
            baselineMs = baselineMs > 0 ? follow(baselineMs, medianMs, decay) : medianMs;
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
        return new LearnedState.ClassState(medianMs, baselineMs, answers);
    }

    /** Takes over the statistics of another process, weighted by a confidence between 0 and 1. */
    public void restore(LearnedState.ClassState other, double confidence) {
        medianMs = Confidence.blend(medianMs, other.medianMs(), confidence);
        baselineMs = other.baselineMs() * confidence >= medianMs / 2
                ? other.baselineMs()
                : 0; // a doubtful value far below the median latency would mislead
        answers = (int) (other.answers() * confidence);
    }
}
