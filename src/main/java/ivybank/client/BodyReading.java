package ivybank.client;

import io.netty.channel.ChannelHandlerContext;
import ivybank.common.Clock;
import ivybank.exchange.BodyPipe;
import ivybank.exchange.ClientRequest;
import ivybank.memory.MessageMemory;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a client's connection is read, which bounds what is held of the body that is being received. Times are in
 * milliseconds of the clock. Used on one event loop.
 */
final class BodyReading {

    /** The limit up to which a body is read while nobody consumes it, so that the client's disconnect behind it is noticed. */
    private static final long MAX_READ_AHEAD_BYTES = 512 * 1024;

    /**
     * How much further a body is read to see whether its client writes on: what one that sends at a usual pace has written
     * since the last look.
     */
    private static final long LOOK_BYTES = 256 * 1024;
    /** The part of a request's time after which such a look is due. */
    private static final double LOOK_FRACTION = 0.5;

    /** The time that a long request must have left when its last byte is read; with a short budget, half of the budget. */
    private static final double MIN_LEFT_MS = 250;

    private static final double MIN_LEFT_FRACTION = 0.5;

    private static final double MICROS_IN_MS = 1000;

    private final ChannelHandlerContext context;
    private final Clock clock;
    private final MessageMemory memory;
    private final LastByteTime lastByte;
    /** The body being received, or null. */
    private BodyPipe body;
    /** The time that the client allows from the last byte of this body on. */
    private double budgetMs;
    /** Whether reading is paused for a moment, whatever is received. */
    private boolean paused;
    /** Whether the rest of the body is to be read now. */
    private boolean demanded = true;

    private double notDemandedSinceMs;
    private double notDemandedMs;
    /** The time since when the rest of the body is not read for lack of memory; otherwise NaN. */
    private double withheldSinceMs = Double.NaN;

    /**
     * Creates the reading of one connection.
     *
     * @param memory decides how much may be read ahead
     * @param lastByte is notified when the connection is not read
     */
    BodyReading(ChannelHandlerContext context, Clock clock, MessageMemory memory, LastByteTime lastByte) {
        this.context = context;
        this.clock = clock;
        this.memory = memory;
        this.lastByte = lastByte;
    }

    /** Notifies that the beginning of a long request has been received. */
    void bodyStarted(ClientRequest request) {
        body = request.remainingBody();
        budgetMs = request.budgetMs();
        lastByte.bodyStarted(request.contentLength());
    }

    /** Notifies that the last byte of a body has been read and passed on, or that none can follow. */
    void bodyEnded() {
        body = null;
        lastByte.bodyEnded();
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
        double nowMs = clock.nowMs();
        boolean wanted = demanded || body == null || body.heldBytes() < readAheadBytes(nowMs);
        boolean withheld = !demanded && body != null && !memory.mayReadAhead();
        if (!wanted || !withheld) {
            withheldSinceMs = Double.NaN;
        } else if (Double.isNaN(withheldSinceMs)) {
            withheldSinceMs = nowMs;
        }
        boolean reads = wanted && !withheld && !paused;
        if (!reads) {
            lastByte.unwatched(nowMs);
        }
        context.channel().config().setAutoRead(reads);
    }

    private long readAheadBytes(double nowMs) {
        boolean lookDue = nowMs - lastByte.earliestMs(nowMs) >= LOOK_FRACTION * budgetMs;
        return MAX_READ_AHEAD_BYTES + (lookDue ? LOOK_BYTES : 0);
    }

    /** Returns whether the connection is being read. */
    private boolean isReading() {
        return context.channel().config().isAutoRead();
    }

    /**
     * Notifies that a read has ended.
     *
     * @param empty whether the socket was found empty, and the last byte of a body was not in it
     * @param bodyBytes what has been read of the body in all
     */
    void readEnded(boolean empty, long bodyBytes) {
        double nowMs = clock.nowMs();
        if (body != null) {
            lastByte.received(nowMs, bodyBytes);
        }
        lastByte.looked(nowMs, empty, isReading());
    }

    /** Pauses reading for this many milliseconds, unless it is paused already. */
    void pause(double pauseMs) {
        if (paused) {
            return;
        }
        paused = true;
        adjust();
        context.executor()
                .schedule(
                        () -> {
                            paused = false;
                            adjust();
                        },
                        (long) (pauseMs * MICROS_IN_MS),
                        TimeUnit.MICROSECONDS);
    }

    /** Notifies that a look into the socket has found nothing. */
    void foundEmpty() {
        lastByte.looked(clock.nowMs(), true, isReading());
    }

    /** Returns why the rest of a request is not read, since when, and what is held of it, for the log. */
    String describe(double nowMs) {
        return "it may have been in the socket for " + Math.round(nowMs - lastByte.earliestMs(nowMs)) + " ms, "
                + (demanded ? "" : "its node takes nothing, ")
                + (Double.isNaN(withheldSinceMs)
                        ? ""
                        : "memory is scarce since " + Math.round(nowMs - withheldSinceMs) + " ms, ")
                + (body == null ? 0 : body.heldBytes()) + " bytes are held";
    }

    /** Returns whether the last byte of the body may have been in the socket for so long that it can hardly be served in time. */
    boolean isOverdue(double nowMs) {
        return nowMs - lastByte.earliestMs(nowMs) >= budgetMs - Math.min(MIN_LEFT_MS, MIN_LEFT_FRACTION * budgetMs);
    }
}
