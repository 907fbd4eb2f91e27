package ivybank.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Discrete events on one clock, in milliseconds. Events of the same instant run in the order in which they were asked for,
 * so that one seed gives one course. What never lets the clock move on is ended by an error instead of running for ever.
 */
final class Simulation {

    private static final int MOST_AT_ONCE = 1_000_000;

    private record Event(double atMs, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));
    private double nowMs;
    private long asked;
    private int atOnce;

    double nowMs() {
        return nowMs;
    }

    /** Runs an action after a delay; one that is not positive, or no number, counts as 0. */
    void after(double delayMs, Runnable action) {
        events.add(new Event(nowMs + (delayMs > 0 ? delayMs : 0), asked++, action));
    }

    /** Runs an action at an instant, or now if that has passed. */
    void at(double instantMs, Runnable action) {
        after(instantMs - nowMs, action);
    }

    /** Runs what is due up to an instant, which is the clock's then. */
    void runUntil(double instantMs) {
        while (!events.isEmpty() && events.peek().atMs <= instantMs) {
            Event event = events.poll();
            atOnce = event.atMs > nowMs ? 0 : atOnce + 1;
            if (atOnce > MOST_AT_ONCE) {
                throw new IllegalStateException("the clock stands at " + nowMs + " ms: more than " + MOST_AT_ONCE
                        + " events at one instant, the last of them " + event.action);
            }
            nowMs = event.atMs;
            event.action.run();
        }
        nowMs = Math.max(nowMs, instantMs);
    }
}
