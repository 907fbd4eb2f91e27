package ivybank.fleet;

/**
 * A digest of the live members of a view. Each member's hash is added to one of {@link MessageCodec#DIGEST_BUCKETS}
 * sums, so that two views can compare all members by one number and find the differing ones by the sums.
 */
final class ViewDigest {

    private final long[] sums = new long[MessageCodec.DIGEST_BUCKETS];

    /** Adds a member as it stands now; members that are not alive add nothing. */
    void add(Member member) {
        sums[bucketOf(member)] += hash(member);
    }

    /** Takes out a member that was added and has not changed since. */
    void remove(Member member) {
        sums[bucketOf(member)] -= hash(member);
    }

    /** Equal where two views hold the same members for alive, in the same incarnations, versions and states. */
    long value() {
        long value = 0;
        for (long sum : sums) {
            value += sum;
        }
        return value;
    }

    /** The digest in the 32 bits that a datagram carries. */
    int shortValue() {
        return fold(value());
    }

    /** The sums in the 32 bits each that a datagram carries. */
    int[] shortSums() {
        int[] folded = new int[sums.length];
        for (int i = 0; i < folded.length; i++) {
            folded[i] = fold(sums[i]);
        }
        return folded;
    }

    /** Whether the sum that covers a member differs from another view's; false where the other view has no such sum. */
    boolean differs(Member member, int[] otherShortSums) {
        int bucket = bucketOf(member);
        return bucket < otherShortSums.length && otherShortSums[bucket] != fold(sums[bucket]);
    }

    private int bucketOf(Member member) {
        return member.index % sums.length;
    }

    private static int fold(long sum) {
        return (int) (sum ^ sum >>> 32);
    }

    private static long hash(Member member) {
        if (!member.isAlive()) {
            return 0;
        }
        long mixed = member.incarnation * 0x9e3779b97f4a7c15L + member.index;
        mixed = (mixed ^ mixed >>> 32) * 0xbf58476d1ce4e5b9L + member.version * 31L + member.state.ordinal();
        mixed = (mixed ^ mixed >>> 29) * 0x94d049bb133111ebL + member.name.hashCode();
        return (mixed ^ mixed >>> 32) * 0xff51afd7ed558ccdL;
    }
}
