package ivybank.store;

/**
 * The size limits of a store, in bytes.
 *
 * @param disk all segments together, including the output of a running compaction
 * @param segment one segment file, 4 KiB to 1 GiB
 * @param value one value
 * @param waiting queued writes together
 */
public record Limits(long disk, int segment, int value, int waiting) {

    /** Segments that are reserved for compaction and for deletions. */
    static final int RESERVED_SEGMENTS = 2;

    private static final int MIN_SEGMENT_BYTES = 4096;

    /** Rejects limits that leave no space for records besides the reserved segments. */
    public Limits {
        if (disk < (RESERVED_SEGMENTS + 2L) * segment || segment < MIN_SEGMENT_BYTES || value < 0 || waiting < 1) {
            throw new IllegalArgumentException("a disk of " + disk + " bytes is too small for segments of " + segment);
        }
    }
}
