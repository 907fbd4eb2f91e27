package ivybank.handover;

/** What is taken over of what another process has learned, between what a fresh start has and all of it. */
public final class Trust {

    private Trust() {}

    /** A value as remembered, drawn back to that of a fresh start as far as it is not believed. */
    public static double blend(double fresh, double remembered, double trust) {
        return fresh * (1 - trust) + remembered * trust;
    }

    /** Whether what is remembered of a node is of its present life; discovery's word on its start wins. */
    public static boolean sameLife(LearnedState.NodeState remembered, double startedMs) {
        return remembered.startedMs() == startedMs;
    }
}
