package ivybank.concurrency;

/** The mean of the samples since it was last cleared. */
public final class Mean {

    private double sum;
    private int count;

    public void add(double sample) {
        sum += sample;
        count++;
    }

    /** Returns the number of samples. */
    public int count() {
        return count;
    }

    /** Returns the mean of the samples, or 0 if there are none. */
    public double mean() {
        return count == 0 ? 0 : sum / count;
    }

    /** Removes all samples. */
    public void clear() {
        sum = 0;
        count = 0;
    }
}
