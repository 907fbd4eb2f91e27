package ivybank.handover;

/** Weights restored state of another process by the confidence in it. */
public final class Confidence {

    private Confidence() {}

    /** Returns the weighted mean of the value of a fresh start and the remembered one. */
    public static double blend(double fresh, double remembered, double confidence) {
        return fresh * (1 - confidence) + remembered * confidence;
    }

    /**
     * Returns whether the remembered state belongs to the current incarnation of the node; the start that discovery reports is
     * authoritative.
     */
    public static boolean isSameIncarnation(LearnedState.NodeState remembered, double startedMs) {
        return remembered.startedMs() == startedMs;
    }
}
