package ivybank.store;

import java.util.List;

/**
 * What recovery found at a start.
 *
 * @param segments number of segments in use
 * @param records number of records, whether read one by one or from checkpoints
 * @param keys number of keys that have a value
 * @param checkpoints number of segments that were loaded from their checkpoints
 * @param cutBytes size of an unconfirmed last write, which was truncated
 * @param damage one line for each piece of confirmed data that can't be read any more; a start reports any only if it
 *     may continue without that data
 */
public record RecoveryReport(int segments, int records, int keys, int checkpoints, int cutBytes, List<String> damage) {

    public RecoveryReport {
        damage = List.copyOf(damage);
    }

    /** Returns the report as one line for operators. */
    public String summary() {
        return segments + " segments, " + keys + " keys from " + records + " records, " + checkpoints
                + " segments loaded from"
                + " checkpoints; " + cutBytes + " bytes of an unconfirmed last write truncated"
                + (damage.isEmpty() ? "" : "; DAMAGED: " + String.join("; ", damage));
    }
}
