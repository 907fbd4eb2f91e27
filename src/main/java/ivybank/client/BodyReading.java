package ivybank.client;

import io.netty.channel.ChannelHandlerContext;
import ivybank.common.Clock;
import ivybank.exchange.BodyPipe;
import ivybank.memory.MessageMemory;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a client's connection is read, which bounds what is held of the body that is being received. Times are in
 * milliseconds of the clock. Used on one event loop.
 */
final class BodyReading {

    /** The limit up to which a body is read while nobody consumes it, so that the client's disconnect behind it is noticed. */
    private static final long MAX_READ_AHEAD_BYTES = 512 * 1024;

    private static final long PAUSE_MS = 5;
    /** The time that a long request must have left when its last byte is read; with a short budget, half of the budget. */
    private static final double MIN_LEFT_MS = 500;

    private static final double MIN_LEFT_FRACTION = 0.5;

    private final ChannelHandlerContext context;
    private final Clock clock;
    private final MessageMemory memory;
    /** The body being received, or null. */
    private BodyPipe body;
    /** Whether reading is paused for a moment, whatever is received. */
    private boolean paused;
    /** Whether the rest of the body is to be read now. */
    private boolean demanded = true;

    private double notDemandedSinceMs;
    private double notDemandedMs;
    /** The time since when the rest of the body is not read for lack of memory; otherwise NaN. */
    private double withheldSinceMs = Double.NaN;
    /** The time since when the end of a withheld body may be in the socket, until the socket is found empty; otherwise NaN. */
    private double earliestEndMs = Double.NaN;

    /** @param memory decides how much may be read ahead */
    BodyReading(ChannelHandlerContext context, Clock clock, MessageMemory memory) {
        this.context = context;
        this.clock = clock;
        this.memory = memory;
    }

    /** Notifies that the beginning of a long request has been received. */
    void bodyStarted(BodyPipe incoming) {
        body = incoming;
    }

    /** Notifies that the last byte of a body has been read and passed on, or that none can follow. */
    void bodyEnded() {
        body = null;
        setDemand(true);
        adjust();
    }

    /** Notifies that the first bytes of a request have been received. */
    void requestStarted() {
        notDemandedMs = 0;
    }

    /** Sets whether the rest of the body is to be read now. */
    void setDemand(boolean more) {
        if (more != demanded) {
            demanded = more;
            double nowMs = clock.nowMs();
            notDemandedMs += more ? nowMs - notDemandedSinceMs : 0;
            notDemandedSinceMs = nowMs;
            adjust();
        }
    }

    /** Returns whether the client is waited for. */
    boolean isDemanded() {
        return demanded;
    }

    /** Returns for how long in total the rest of this request was not to be read; while it is to be. */
    double notDemandedMs() {
        return notDemandedMs;
    }

    /** Pauses or resumes reading, by what is held now. */
    void adjust() {
        boolean wanted = demanded || body == null || body.heldBytes() < MAX_READ_AHEAD_BYTES;
        boolean withheld = !demanded && body != null && !memory.mayReadAhead();
        if (!wanted || !withheld) {
            withheldSinceMs = Double.NaN;
        } else if (Double.isNaN(withheldSinceMs)) {
            withheldSinceMs = clock.nowMs();
            earliestEndMs = withheldSinceMs;
        }
        context.channel().config().setAutoRead(wanted && !withheld && !paused);
    }

    /** Pauses reading for a moment. */
    void pause() {
        paused = true;
        adjust();
        context.executor()
                .schedule(
                        () -> {
                            paused = false;
                            adjust();
                        },
                        PAUSE_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Returns whether reading is paused for a moment. */
    boolean isPaused() {
        return paused;
    }

    /** Notifies that the socket was found empty and that no body has ended in it. */
    void socketDrained() {
        earliestEndMs = Double.NaN;
    }

    /** Returns the earliest time at which the end of the body that has just been read may have arrived. */
    double takeEarliestEndMs() {
        double takenMs = Double.isNaN(earliestEndMs) ? clock.nowMs() : earliestEndMs;
        earliestEndMs = Double.NaN;
        return takenMs;
    }

    /** Returns why the rest of a request is not read, since when, and what is held of it, for the log. */
    String describe(double nowMs) {
        return (demanded ? "" : "its node takes nothing, ")
                + (Double.isNaN(withheldSinceMs)
                        ? ""
                        : "memory is scarce since " + Math.round(nowMs - withheldSinceMs) + " ms, ")
                + (body == null ? 0 : body.heldBytes()) + " bytes are held";
    }

    /**
     * Returns whether the rest of a request was withheld for so long that it could hardly be served in time.
     *
     * @param budgetMs the time that its client allows from its last byte on
     */
    boolean isOverdue(double nowMs, double budgetMs) {
        return nowMs - withheldSinceMs >= budgetMs - Math.min(MIN_LEFT_MS, MIN_LEFT_FRACTION * budgetMs);
    }
}
