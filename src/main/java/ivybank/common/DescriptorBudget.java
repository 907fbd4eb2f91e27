package ivybank.common;

/**
 * The file descriptors shared by the client side and the upstream side. Each side has its own limit, and the two together
 * exceed the total, so that one side can use what the other does not. Another process of the sidecar counts against the same
 * limit.
 */
public final class DescriptorBudget {

    private final int limit;
    private int used;
    private int usedByOtherProcess;

    public DescriptorBudget(int limit) {
        this.limit = limit;
    }

    public boolean isExhausted() {
        return available() == 0;
    }

    /** Returns how many more descriptors may be acquired. */
    public int available() {
        return Math.max(0, limit - used - usedByOtherProcess);
    }

    public int used() {
        return used;
    }

    /** Sets the number of descriptors that another process holds, or may hold before its next report. */
    public void setUsedByOtherProcess(int count) {
        usedByOtherProcess = count;
    }

    public void acquire() {
        used++;
    }

    public void release() {
        used--;
    }
}
