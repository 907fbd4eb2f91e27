package ivybank.emulator;

import java.util.Locale;

/**
 * What came of a run, over all sidecars.
 *
 * @param inTime the part of the requests that was served within the aim
 * @param bySecond the same, by the second in which they came
 * @param mostBegun connections begun to one node in its worst second, but for the first three of the run
 * @param mostHeld connections to one node at once, idle ones too
 * @param jammed nodes that were held overdriven until they slowed down
 * @param justBack attempts, of all sidecars, at one node in its first two seconds
 * @param worstCold of what a cold node could do in two seconds, what it was sent in them
 * @param coldByWork the most work that a cold node was sent over what it may be sent before it falls
 * @param coldByRequests the same by the number of requests, each taken for one of mean work
 * @param mostMembers nodes that one sidecar drew from
 */
public record FleetResult(
        long requests,
        double inTime,
        double[] bySecond,
        long connections,
        long attempts,
        long givenUp,
        int mostBegun,
        int mostHeld,
        int jammed,
        int justBack,
        double worstCold,
        double coldByWork,
        double coldByRequests,
        int mostMembers,
        double meanMembers) {

    /** The part in time of the requests of these seconds. */
    public double between(int from, int until) {
        double sum = 0;
        for (int second = from; second < until; second++) {
            sum += bySecond[second];
        }
        return sum / (until - from);
    }

    /** One line of figures. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "%d requests, %.3f in time, %.2f connections and %.2f attempts for each, %d given up;"
                        + " at one node %d begun in a second, %d held, %d attempts when just back, cold %.2f of capacity,"
                        + " %.2f by work and %.2f by requests of what pushes it over; %d jammed;"
                        + " members %d at most, %.1f in the mean",
                requests,
                inTime,
                connections / (double) Math.max(1, requests),
                attempts / (double) Math.max(1, requests),
                givenUp,
                mostBegun,
                mostHeld,
                justBack,
                worstCold,
                coldByWork,
                coldByRequests,
                jammed,
                mostMembers,
                meanMembers);
    }
}
