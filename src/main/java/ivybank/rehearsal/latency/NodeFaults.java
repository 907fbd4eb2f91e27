package ivybank.rehearsal.latency;

import java.util.SplittableRandom;

/** What stand-in nodes do wrong with requests that came through the sidecar. Never with direct ones: those are the yardstick. */
public final class NodeFaults {

    /** What a node does with a request. */
    public enum Answer {
        GOOD,
        /** Bytes that are no response. */
        SPOILT,
        /** A good answer, and the same once more a little later. */
        TWICE
    }

    /** A second answer comes up to so many ms after the first. */
    public static final int LONGEST_SECOND_MS = 25;

    private final double spoiltPart;
    private final double twicePart;
    private final SplittableRandom random;

    /** The parts of the answers, from 0 to 1. */
    public NodeFaults(double spoiltPart, double twicePart, long seed) {
        this.spoiltPart = spoiltPart;
        this.twicePart = twicePart;
        this.random = new SplittableRandom(seed);
    }

    /** Nodes that do nothing wrong. */
    public static NodeFaults none() {
        return new NodeFaults(0, 0, 0);
    }

    /** Draws what becomes of the next request. */
    Answer next() {
        double draw = random.nextDouble();
        if (draw < spoiltPart) {
            return Answer.SPOILT;
        }
        return draw < spoiltPart + twicePart ? Answer.TWICE : Answer.GOOD;
    }

    /** Draws how long after the first a second answer comes, in ms. */
    int secondAfterMs() {
        return random.nextInt(LONGEST_SECOND_MS + 1);
    }
}
