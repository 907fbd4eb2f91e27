package ivybank.fleet;

import java.util.Random;

/** Spreads intervals, so that the members of a fleet do not act in step. */
final class Jitter {

    private static final double LEAST = 0.75;
    private static final double SPREAD = 0.5;

    private Jitter() {}

    /** An interval drawn evenly from 0.75 to 1.25 times the given one, ms. */
    static double apply(double intervalMs, Random random) {
        return intervalMs * (LEAST + SPREAD * random.nextDouble());
    }
}
