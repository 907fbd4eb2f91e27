package ivybank.handover;

/** What is taken over of what another process has learned, between what a fresh start has and all of it. */
public final class Confidence {

    private Confidence() {}

    /** A value as remembered, drawn back to that of a fresh start as far as it is not believed. */
    public static double blend(double fresh, double remembered, double confidence) {
        return fresh * (1 - confidence) + remembered * confidence;
    }

    /** Whether what is remembered of a node is of its present life; discovery's word on its start wins. */
    public static boolean isSameIncarnation(LearnedState.NodeState remembered, double startedMs) {
        return remembered.startedMs() == startedMs;
    }
}
