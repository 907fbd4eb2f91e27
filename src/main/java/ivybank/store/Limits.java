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

    public Limits {
        if (disk < (RESERVED_SEGMENTS + 2L) * segment || segment < 4096 || value < 0 || waiting < 1) {
            throw new IllegalArgumentException("a disk of " + disk + " bytes is too small for segments of " + segment);
        }
    }
}
