package ivybank.store;

import java.util.List;

/**
 * What a start found.
 *
 * @param segments files of records that are in use
 * @param records read one by one, or from checkpoints
 * @param keys that have a value
 * @param checkpoints segments that need not be read
 * @param cutBytes of an unconfirmed last write, which were cut off
 * @param damage what was confirmed once and can't be read any more, a line each; empty unless the store goes on all the same
 */
public record RecoveryReport(int segments, int records, int keys, int checkpoints, int cutBytes, List<String> damage) {

    public RecoveryReport {
        damage = List.copyOf(damage);
    }

    /** In one line. */
    public String summary() {
        return segments + " segments, " + keys + " keys of " + records + " records, " + checkpoints
                + " segments by their"
                + " checkpoints; " + cutBytes + " bytes of an unconfirmed last write cut off"
                + (damage.isEmpty() ? "" : "; DAMAGED: " + String.join("; ", damage));
    }
}
