package ivybank.concurrency;

import ivybank.handover.Confidence;
import ivybank.handover.LearnedState;

/** The running median of the latencies of like requests, and what it was when the nodes were quiet; in milliseconds. */
public class LatencyTracker {

    private double typicalMs;
    private double quietMs; // 0: not known yet
    private int answers;

    protected LatencyTracker(double typicalMs) {
        this.typicalMs = typicalMs;
    }

    public double typicalMs() {
        return typicalMs;
    }

    /** The typical latency, until enough answers are known to tell what is quiet. */
    public double quietMs() {
        return quietMs > 0 ? quietMs : typicalMs;
    }

    /** Counts an answer with its latency. */
    public void answered(double latencyMs, double leastStep) {
        answers++;
        moveTypical(latencyMs, leastStep);
    }

    /** Moves the running median by one latency, the less the more answers are known, down to {@code leastStep}. */
    public void moveTypical(double latencyMs, double leastStep) {
        // Never a whole step: a first time-out under the typical latency made that zero and every share NaN.
        double step = Math.max(leastStep, 1.0 / (2 + answers));
        typicalMs *= latencyMs > typicalMs ? 1 + step : 1 - step;
    }

    /** Lets a tick pass: from so many answers on the quiet latency follows the typical one. */
    protected void tick(double leastAnswers, double forget) {
        if (answers >= leastAnswers) {
            quietMs = quietMs > 0 ? floor(quietMs, typicalMs, forget) : typicalMs;
        }
    }

    /** A floor that follows lower values by halves (the least of noisy values would sink) and slowly forgets. */
    static double floor(double floor, double value, double forget) {
        return value < floor ? (floor + value) / 2 : floor * (1 + forget);
    }

    public LearnedState.ClassState learned() {
        return new LearnedState.ClassState(typicalMs, quietMs, answers);
    }

    /** Takes over what another process has learned, as far as it is believed. */
    public void recall(LearnedState.ClassState other, double trust) {
        typicalMs = Confidence.blend(typicalMs, other.typicalMs(), trust);
        quietMs = other.quietMs() * trust >= typicalMs / 2 ? other.quietMs() : 0; // half believed it would only mislead
        answers = (int) (other.answers() * trust);
    }
}
