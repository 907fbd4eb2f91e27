package ivybank.concurrency;

/** A running mean of samples until it is cleared. */
public final class Mean {

    private double sum;
    private int count;

    /** Counts one sample. */
    public void add(double sample) {
        sum += sample;
        count++;
    }

    /** How many samples there are. */
    public int count() {
        return count;
    }

    /** The mean of the samples, 0 without any. */
    public double mean() {
        return count == 0 ? 0 : sum / count;
    }

    /** Begins anew. */
    public void clear() {
        sum = 0;
        count = 0;
    }
}
