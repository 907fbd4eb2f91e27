package ivybank.store;

/**
 * How large a store may get, in bytes.
 *
 * @param disk all its files together, those that are being compacted included
 * @param segment one file of records, 4 KiB to 1 GiB
 * @param value the longest value of a key
 * @param waiting what may wait to be written
 */
public record Limits(long disk, int segment, int value, int waiting) {

    /** Segments that are kept free for compaction and for deletions. */
    static final int SPARE_SEGMENTS = 2;

    public Limits {
        if (disk < (SPARE_SEGMENTS + 2L) * segment || segment < 4096 || value < 0 || waiting < 1) {
            throw new IllegalArgumentException("a disk of " + disk + " bytes is too small for segments of " + segment);
        }
    }
}
