package ivybank.emulator;

import java.util.Arrays;

/** Counts by the second of the run. */
final class Seconds {

    private int[] counts = new int[64];

    void count(double nowMs) {
        int second = (int) (nowMs / 1000);
        if (second >= counts.length) {
            counts = Arrays.copyOf(counts, Math.max(second + 1, 2 * counts.length));
        }
        counts[second]++;
    }

    /** In that second. */
    int in(int second) {
        return second < counts.length ? counts[second] : 0;
    }

    /** In the worst second from one on, before another. */
    int most(int from, int until) {
        int most = 0;
        for (int second = from; second < Math.min(until, counts.length); second++) {
            most = Math.max(most, counts[second]);
        }
        return most;
    }

    /** In all seconds from one on, before another. */
    int sum(int from, int until) {
        int sum = 0;
        for (int second = from; second < Math.min(until, counts.length); second++) {
            sum += counts[second];
        }
        return sum;
    }
}
