package ivybank.common;

/**
 * The file descriptors that both sides share. Each side has a bound of its own; together they would be too many, so
 * that what one side does not use the other may. Another process of the sidecar counts against the same limit.
 */
public final class DescriptorBudget {

    private final int most;
    private int used;
    private int elsewhere;

    public DescriptorBudget(int most) {
        this.most = most;
    }

    public boolean isExhausted() {
        return available() == 0;
    }

    /** How many more may be taken. */
    public int available() {
        return Math.max(0, most - used - elsewhere);
    }

    public int used() {
        return used;
    }

    /** Tells how many another process holds, or may hold before it is heard of again. */
    public void setUsedByOtherProcess(int held) {
        elsewhere = held;
    }

    public void acquire() {
        used++;
    }

    public void release() {
        used--;
    }
}
