package ivybank.emulator;

/**
 * What happens to a fleet, from eight seconds after its start on. Times are in milliseconds.
 *
 * @param replaced the part of the nodes that is replaced, in steps
 * @param restarted the part of the sidecars that is restarted, in the same steps or together
 * @param atOnce whether they are restarted within a tenth of a second
 * @param overMs how long the steps take in all
 * @param silent the part of the nodes that answers nothing, for {@code silentMs}, and is replaced then
 */
public record Incident(
        double replaced, double restarted, boolean atOnce, double overMs, double silent, double silentMs) {

    static final Incident NONE = new Incident(0, 0, false, 0, 0, 0);
    /** Half of the nodes are replaced while each sidecar is restarted once. */
    static final Incident RELEASE = new Incident(0.5, 1, false, 12_000, 0, 0);
    /** Seven in ten sidecars are killed at once. */
    static final Incident JOINT_RESTART = new Incident(0, 0.7, true, 0, 0, 0);

    public Incident {
        if (!isPart(replaced) || !isPart(restarted) || !isPart(silent)) {
            throw new IllegalArgumentException("parts are from 0 to 1");
        }
        if (!(overMs >= 0 && silentMs >= 0)) {
            throw new IllegalArgumentException("times can't be negative");
        }
    }

    private static boolean isPart(double value) {
        return value >= 0 && value <= 1;
    }
}
