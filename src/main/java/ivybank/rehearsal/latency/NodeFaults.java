package ivybank.rehearsal.latency;

import java.util.SplittableRandom;
import java.util.stream.IntStream;

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

    /** A node whose own event loop is late by so much that a second answer would come later than this leaves it out. */
    static final int LATEST_SECOND_MS = 29;

    private static final int[] ANY_DELAY =
            IntStream.rangeClosed(0, LONGEST_SECOND_MS).toArray();
    /** At once, and at the ends of what was seen of faulty nodes. */
    private static final int[] SEEN_DELAYS = {0, 1, 10, 24, LONGEST_SECOND_MS};

    private final int[] delaysMs;
    private final boolean mayBeCut;
    private final double spoiltPart;
    private final double twicePart;
    private final SplittableRandom random;

    /** The parts of the answers, from 0 to 1. */
    public NodeFaults(double spoiltPart, double twicePart, long seed) {
        this(spoiltPart, twicePart, ANY_DELAY, false, seed);
    }

    private NodeFaults(double spoiltPart, double twicePart, int[] delaysMs, boolean mayBeCut, long seed) {
        this.delaysMs = delaysMs;
        this.mayBeCut = mayBeCut;
        this.spoiltPart = spoiltPart;
        this.twicePart = twicePart;
        this.random = new SplittableRandom(seed);
    }

    /** Nodes that do nothing wrong. */
    public static NodeFaults none() {
        return new NodeFaults(0, 0, 0);
    }

    /** A part of the answers has a second one, at each delay that was seen of faulty nodes, half of them cut in two. */
    public static NodeFaults secondAnswers(double part, long seed) {
        return new NodeFaults(0, part, SEEN_DELAYS, true, seed);
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
        return delaysMs[random.nextInt(delaysMs.length)];
    }

    /** Draws whether a second answer comes in two pieces. */
    boolean isCut() {
        return mayBeCut && random.nextBoolean();
    }
}
