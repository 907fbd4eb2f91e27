package ivybank.rehearsal.latency;

import java.util.Arrays;

/**
 * What became of each request of a schedule, in arrays that are made before the run, so that recording allocates nothing.
 * Written by the generator's thread alone and read after it has ended.
 */
public final class Observations {

    /** How a request ended. */
    public enum Outcome {
        /** No whole answer came before the run's end. */
        UNANSWERED,
        /** 200 with the body that a node made for this request. */
        SERVED,
        /** 429 or 503. */
        REFUSED,
        /** Any other status, or the connection ended under the request. */
        FAILED,
        /** 200 with a body that was made for another request. */
        WRONG_ANSWER
    }

    private final ArrivalSchedule schedule;
    private final Outcome[] outcomes;
    private final long[] latencyNs;
    private final long[] latenessNs;

    public Observations(ArrivalSchedule schedule) {
        this.schedule = schedule;
        this.outcomes = new Outcome[schedule.size()];
        this.latencyNs = new long[schedule.size()];
        this.latenessNs = new long[schedule.size()];
        Arrays.fill(outcomes, Outcome.UNANSWERED);
    }

    public ArrivalSchedule schedule() {
        return schedule;
    }

    /** Notes how late the generator began to send a request, in nanoseconds after it was due. */
    public void sent(int request, long lateNs) {
        latenessNs[request] = lateNs;
    }

    /**
     * Notes a request's end.
     *
     * @param afterDueNs from when the request was due until its answer's last byte was read
     * @param unseenNs the longest that the answer can have lain unread, for the generator looks only so often
     */
    public void ended(int request, Outcome outcome, long afterDueNs, long unseenNs) {
        outcomes[request] = outcome;
        latencyNs[request] = afterDueNs;
        latenessNs[request] += unseenNs;
    }

    public Outcome outcome(int request) {
        return outcomes[request];
    }

    /** From due to the answer's last byte, in nanoseconds; meaningless for what is {@link Outcome#UNANSWERED}. */
    public long latencyNs(int request) {
        return latencyNs[request];
    }

    /** The generator's own part of that at the most: late in sending and late in reading, in nanoseconds. */
    public long latenessNs(int request) {
        return latenessNs[request];
    }
}
