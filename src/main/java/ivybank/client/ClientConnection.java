package ivybank.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import ivybank.common.Clock;
import ivybank.common.NextSelect;
import ivybank.exchange.Answer;
import ivybank.exchange.BodyPipe;
import ivybank.exchange.ClientLink;
import ivybank.exchange.RequestHandler;
import ivybank.transport.RetryingSocketChannel;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.concurrent.TimeUnit;

/** One connection from the client: its requests are answered one after another, in the order in which they came. */
@SuppressWarnings("ReferenceEquality") // two arrivals of equal parts are still two
final class ClientConnection extends SimpleChannelInboundHandler<RequestReader.Read>
        implements BodyPipe.Source, ClientLink {

    /** How much of a body is read on where nobody takes it, so that the client's end behind it is seen. */
    private static final long MOST_HELD = 512 * 1024;
    /** Where a client sends more than is of use: after so many reads, for so long nothing is read. */
    private static final int READS_AT_ONCE = 64;

    private static final long PAUSE_MS = 5;
    /** A client that connects has something to ask: by then it has, or it won't. */
    private static final double LONGEST_MUTE_MS = 2500;
    /** Where reads fail it may have asked: it is answered with 408 by then, within the 3 s in which who says nothing is told. */
    private static final double LONGEST_UNREAD_MS = 2800;
    /** For a head, which a client may take 2 s for; and for a body this many bytes in a ms at least: half of what is slow. */
    private static final double LONGEST_PARTIAL_MS = 2500;

    private static final double LEAST_BYTES_IN_MS = 32;
    /** What lies between a connection and its channel where neither accepts nor anything else fails. */
    private static final double USUAL_ACCEPT_MS = 10;
    /** For so long a request may be in hand whose client can't be read: its leaving would go unseen. */
    private static final double LONGEST_BLIND_MS = 60;

    /** A client that takes nothing more of a long answer is given up. */
    private static final double LONGEST_STALL_MS = 15_000;

    private static final double LONGEST_IDLE_MS = 10_000;
    /** Where there are many connections, what is of no use for so long goes. */
    private static final double MUTE_IS_SPARE_MS = 600;
    /** Since the last bytes of half a request: one that is written slowly goes on, one that is never finished stands. */
    private static final double PARTIAL_IS_SPARE_MS = 600;

    private static final double IDLE_IS_SPARE_MS = 250;
    /** Where the client is seen not to use its connections again. */
    private static final double ASKED_ONCE_IS_SPARE_MS = 50;

    private final RequestReader reader;
    private final ClientServer server;
    private final RequestHandler driver;
    private final Clock clock;
    private final WaitingRequests waiting;
    private final ArrivalParser parser;
    private boolean answering;
    /** Whether the last answer has been written that this connection will bring. */
    private boolean done;
    /** Whether the next read waits a while. */
    private boolean pausing;
    /** The body that is coming, or null, and what of it nobody has taken yet. */
    private BodyPipe arriving;

    private long heldBytes;
    private ChannelHandlerContext context;
    /** Whether what is read next may have come long ago: in the backlog, or while nothing could be read. */
    private boolean mayHaveStood;
    /** Since when reads have failed, or NaN. */
    private double blindSinceMs = Double.NaN;
    /** Since when what is read next may have stood here: reads failed, or the connection could not be used yet; or NaN. */
    private double stoodSinceMs = Double.NaN;
    /** Whether something that was just read is being taken up: what this channel holds has been looked at. */
    private boolean inRead;
    /** The request at hand, or null between requests. */
    private Arrival current;

    private int currentId;
    /** Since when the client counts as waiting for this connection to be served. */
    private double connectedMs;
    /** Since when no request has been at hand, by the module's clock. */
    private double freeSinceMs;
    /** Whether something has come that can't be read: nothing behind it is. */
    private boolean ended;
    /** Whether it is about to be closed as of no use. */
    private boolean retiring;
    /** Reads that brought something, so far. */
    private long reads;
    /** Whether half a request has come, and on a connection that has brought others since when. */
    private boolean partial;

    private double partialSinceMs;
    private double lastReadMs;
    /** Requests that have come whole, or begun to be served. */
    private int requests;
    /** Whether the rest of a long request is wanted now; since when it is not, and for how long it was not before. */
    private boolean wanted = true;

    private double unwantedSinceMs;
    private double unwantedMs;
    /** The rest of the answer that is being written, or null; and since when the client takes none of it, or NaN. */
    private BodyPipe writing;

    private double stalledSinceMs = Double.NaN;
    /** Whether it is closed once the request has come that was answered before its end. */
    private boolean closing;

    ClientConnection(RequestReader reader, ClientServer server, RequestHandler driver, Clock clock) {
        this.reader = reader;
        this.server = server;
        this.driver = driver;
        this.clock = clock;
        this.waiting = new WaitingRequests(server);
        this.parser = new ArrivalParser(server, clock, this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        reader.source(this);
        freeSinceMs = clock.nowMs();
        connectedMs = freeSinceMs;
        mayHaveStood = server.heldBackOfLate();
        if (ctx.channel() instanceof ClientSocketChannel channel) {
            connectedMs = freeSinceMs - channel.accepted().waitedMs();
            stoodSinceMs = freeSinceMs - channel.accepted().mostWaitedMs();
            mayHaveStood |= channel.accepted().mostWaitedMs() > USUAL_ACCEPT_MS;
        }
        server.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RequestReader.Read message) {
        boolean nested = inRead;
        inRead = true;
        try {
            take(message);
        } finally {
            inRead = nested;
        }
    }

    private void take(RequestReader.Read message) {
        if (message == RequestReader.Read.LAST) {
            arriving = arriving != null && arriving.isComplete() ? null : arriving;
            held();
            if (closing) {
                close(false);
            } else if (current != null
                    && current.request() != null
                    && current.request().remainingBody() != null) {
                driver.bodyCompleted(currentId);
            }
            return;
        }
        ended |= message.head() == null;
        if (++requests == 2) {
            server.reused();
        }
        if (closing) {
            close(false);
        } else if (ended && isArriving()) {
            abort(message.status());
        } else {
            enqueue(message);
            next();
        }
    }

    /**
     * Guards memory against a client that sends without end and does not wait: the connection is read on, so that its end is
     * seen at once, and what is more than may wait is not kept but refused in its turn.
     */
    private void enqueue(RequestReader.Read message) {
        Arrival arrival = waiting.hasSurplus() ? null : parser.read(message, stoodSinceMs);
        if (arrival == null || !waiting.add(arrival, current != null)) {
            refuseInItsTurn(message);
            return;
        }
        arriving = arrival.request() == null ? arriving : message.rest() == null ? arriving : message.rest();
    }

    private void refuseInItsTurn(RequestReader.Read message) {
        if (message.rest() != null) {
            message.rest().abandon();
        }
        if (message.head() == null) {
            waiting.endWith(message.status());
        } else if (!waiting.addSurplus()) {
            ended = true;
            reader.stop();
        }
    }

    /** Whether the last byte of the request at hand is still to come. */
    private boolean isArriving() {
        return current != null && current.request() != null && current.request().isIncomplete();
    }

    /** Answers the request at hand, which will never be whole, and so has not run. */
    private void abort(int status) {
        Arrival arrival = current;
        driver.cancel(currentId);
        answer(arrival, Answer.status(status));
    }

    @Override
    public void setDemand(boolean more) {
        if (more != wanted) {
            wanted = more;
            double nowMs = clock.nowMs();
            unwantedMs += more ? nowMs - unwantedSinceMs : 0;
            unwantedSinceMs = nowMs;
            adjustReading();
        }
    }

    @Override
    public void abandoned() {
        setDemand(true); // it is read to its end all the same
    }

    /** Bounds what waits here: requests behind the one at hand, and answers that the client does not read. */
    private void adjustReading() {
        boolean full = !wanted && (heldBytes >= MOST_HELD || !server.hasRoomFor(0));
        context.channel().config().setAutoRead(!pausing && !full);
    }

    /** Tells the server what of the body that is coming nobody has taken yet. */
    private void held() {
        long now = arriving == null ? 0 : arriving.bufferedBytes();
        server.holds(now - heldBytes);
        heldBytes = now;
    }

    /** What is of no use is read as well, but not faster than this: the client's end may stand behind it. */
    private void pauseReading() {
        pausing = true;
        adjustReading();
        context.executor()
                .schedule(
                        () -> {
                            pausing = false;
                            adjustReading();
                        },
                        PAUSE_MS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Reads and writes once without being told to: a registration with the selector may have failed, which Java tells nobody,
     * also where it was good before and Netty has made another selector. {@code resting}: also where nothing is in hand.
     */
    void verify(boolean resting) {
        if (!(context.channel() instanceof RetryingSocketChannel channel)) {
            return;
        }
        if (resting || current != null || isMute() || channel.hasPendingWrites()) {
            boolean stood = mayHaveStood;
            mayHaveStood = true; // what is found now may have come long ago
            RetryingSocketChannel.ReadResult found = channel.pollAndRearm();
            notedReading(found);
            if (found == RetryingSocketChannel.ReadResult.EXHAUSTED
                    || found == RetryingSocketChannel.ReadResult.NOT_READ) {
                mayHaveStood = stood; // nothing was found
            }
        }
    }

    /** A read that finds nothing more shows as well as any other that the client can be read. */
    private void notedReading(RetryingSocketChannel.ReadResult found) {
        if (found == RetryingSocketChannel.ReadResult.EXHAUSTED) {
            canBeRead();
        }
    }

    private void canBeRead() {
        blindSinceMs = Double.NaN;
        stoodSinceMs = Double.NaN;
    }

    /** Guards a request whose client can't be read any more: whether that has left can't be seen, so it gets its answer now. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == RetryingSocketChannel.Event.READ_FAILED) {
            double nowMs = clock.nowMs();
            blindSinceMs = Double.isNaN(blindSinceMs) ? nowMs : blindSinceMs;
            stoodSinceMs = Double.isNaN(stoodSinceMs) ? nowMs : stoodSinceMs;
            mayHaveStood = true; // what comes next may stand here already
            boolean inHand = current != null && current.request() != null && writing == null;
            if (inHand && nowMs - blindSinceMs > LONGEST_BLIND_MS) {
                server.unreadable();
                failAtHand();
            }
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        boolean writable = ctx.channel().isWritable();
        stalledSinceMs = writable ? Double.NaN : clock.nowMs();
        if (writing != null) {
            writing.setDemand(writable);
        }
        next();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (ctx.channel() instanceof RetryingSocketChannel channel && !channel.getAndClearHasRead()) {
            ctx.fireChannelReadComplete(); // a read that failed, or found nothing where the selector was not asked
            return;
        }
        canBeRead();
        reads++;
        double nowMs = clock.nowMs();
        lastReadMs = nowMs;
        if (!partial && reader.midRequest()) {
            partialSinceMs = isMute() ? connectedMs : nowMs;
            unwantedMs = 0;
        }
        partial = reader.midRequest();
        if (arriving != null) {
            held();
            adjustReading();
        }
        if ((ended || waiting.hasSurplus()) && !pausing && reads % READS_AT_ONCE == 0) {
            pauseReading();
        }
        ctx.fireChannelReadComplete();
    }

    /** Takes up what waits, unless the client takes none of what it is answered. */
    private void next() {
        if (answering) {
            return;
        }
        answering = true;
        while (current == null
                && !done
                && context.channel().isActive()
                && context.channel().isWritable()) {
            Arrival arrival = waiting.poll();
            if (arrival == null) {
                break;
            }
            begin(arrival);
        }
        answering = false;
    }

    /**
     * Guards against a client that has left while nobody read what it had sent: its end stands in the socket behind its request,
     * and is looked for first.
     */
    private void begin(Arrival arrival) {
        current = arrival;
        boolean waits =
                mayHaveStood && arrival.request() != null && arrival.request().remainingBody() == null;
        mayHaveStood = false;
        if (!waits) {
            takeUp(arrival);
            return;
        }
        NextSelect.runAfter(context.executor(), () -> takeUpOnceConfirmed(arrival));
    }

    private void takeUpOnceConfirmed(Arrival arrival) {
        if (current != arrival || !context.channel().isActive()) {
            return;
        }
        boolean confirmed = verifyClientPresent();
        if (current != arrival) {
            return; // it was failed, for its connection can't be read
        }
        if (confirmed) {
            takeUp(arrival);
            next();
        } else if (context.channel().isActive()) {
            context.executor().schedule(() -> takeUpOnceConfirmed(arrival), PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards nodes against requests whose clients have left unseen: the selector may tell nothing, or reads fail. */
    @Override
    public boolean verifyClientPresent() {
        if (inRead || isArriving() || !(context.channel() instanceof RetryingSocketChannel channel)) {
            return true;
        }
        boolean open = channel.isActive();
        RetryingSocketChannel.ReadResult found =
                open ? channel.readUntilEmpty() : RetryingSocketChannel.ReadResult.NOT_READ;
        notedReading(found);
        return found != RetryingSocketChannel.ReadResult.FAILED && channel.isActive() == open;
    }

    private void takeUp(Arrival arrival) {
        if (arrival.isSurplus()) {
            server.tooMany();
            answer(arrival, Answer.refused(server.retryAfterMs()));
        } else if (arrival.request() == null) {
            answer(arrival, Answer.status(arrival.status()));
        } else if (driver.isInFlight(arrival.request().callId())) {
            // Guards against one client that would have another one's request run twice, or be answered in its place.
            answer(arrival, Answer.status(HttpStatus.CONFLICT));
        } else if (server.overfull()) {
            current = new Arrival(arrival.request(), 0, false);
            answer(current, Answer.refused(server.retryAfterMs()));
        } else if (server.takesTheLast()) {
            answer(arrival, Answer.refused(server.retryAfterMs()));
        } else {
            int id = driver.handle(arrival.request(), answer -> answer(arrival, answer));
            currentId = current == arrival ? id : 0;
        }
    }

    private void answer(Arrival arrival, Answer answer) {
        if (current != arrival || !context.channel().isActive()) {
            if (answer.remainingBody() != null) {
                answer.remainingBody().abandon();
            }
            return;
        }
        boolean early = arrival.request() != null && arrival.request().isIncomplete();
        if (early) {
            arrival.request().remainingBody().abandon();
        }
        if (answer.remainingBody() != null) {
            pass(arrival, answer, early);
            return;
        }
        free();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status()),
                Unpooled.wrappedBuffer(answer.body()));
        HttpHeaders headers = response.headers();
        headers.setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        setType(headers, answer);
        if (answer.retryAfterMs() > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    BigDecimal.valueOf((long) Math.ceil(answer.retryAfterMs()), 3)
                            .stripTrailingZeros()
                            .toPlainString());
        }
        boolean keepAlive = keepsAlive(arrival) && !early;
        HttpUtil.setKeepAlive(response, keepAlive);
        end(context.writeAndFlush(response), keepAlive, early);
    }

    private static void setType(HttpHeaders headers, Answer answer) {
        if (answer.contentType() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
    }

    /** The request at hand has been answered. */
    private void free() {
        current = null;
        currentId = 0;
        freeSinceMs = clock.nowMs();
    }

    private boolean keepsAlive(Arrival arrival) {
        return arrival.keepAlive()
                && !(waiting.isEmpty() && (server.draining() || requests == 1 && server.closesAtOnce()));
    }

    /** An answer has been written. Guards one that came early: closing on a request half read would spoil it. */
    private void end(ChannelFuture written, boolean keepAlive, boolean early) {
        if (early && !ended) {
            closing = true;
            adjustReading();
        } else if (keepAlive) {
            next();
        } else {
            done = true;
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Writes a long answer as it comes. One that breaks off ends the connection with a reset, so that the client can tell. */
    private void pass(Arrival arrival, Answer answer, boolean early) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()));
        HttpHeaders headers = response.headers();
        setType(headers, answer);
        if (answer.contentLength() >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.contentLength());
        } else if (!arrival.old()) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        boolean keepAlive = keepsAlive(arrival) && !early && !(arrival.old() && answer.contentLength() < 0);
        HttpUtil.setKeepAlive(response, keepAlive);
        context.write(response);
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(answer.body())));
        writing = answer.remainingBody();
        writing.attach(new BodyPipe.Sink() {
            @Override
            public void write(ByteBuf part) {
                BodyPipe pipe = writing;
                context.writeAndFlush(new DefaultHttpContent(part));
                pipe.setDemand(context.channel().isWritable());
            }

            @Override
            public void ended(boolean whole) {
                writing = null;
                if (current != arrival) {
                    return; // the client has left
                }
                free();
                if (whole) {
                    end(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepAlive, early);
                } else {
                    context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                    close(true);
                }
            }
        });
    }

    double freeSinceMs() {
        return freeSinceMs;
    }

    /** Whether it may be closed where there are many. */
    boolean isSpare(double nowMs) {
        boolean stands = partial
                ? nowMs - lastReadMs >= PARTIAL_IS_SPARE_MS
                : nowMs - freeSinceMs >= (isMute() ? MUTE_IS_SPARE_MS : IDLE_IS_SPARE_MS);
        return stands && isFree();
    }

    /** Whether it is one of many on which nothing more than this is to be expected. */
    boolean isJunk(double nowMs) {
        return isMute() ? isSpare(nowMs) : askedOnce() && nowMs - freeSinceMs >= ASKED_ONCE_IS_SPARE_MS && isFree();
    }

    /** Whether no request has come yet, nor anything that can't be read. */
    private boolean isMute() {
        return requests == 0;
    }

    boolean askedOnce() {
        return requests == 1 && !partial;
    }

    /** Whether no request is at hand, and no answer is left to be written. */
    private boolean isFree() {
        return !retiring && isAnswered();
    }

    private boolean isAnswered() {
        return current == null && waiting.isEmpty() && !hasUnwrittenAnswer();
    }

    /** Guards answers where writes fail for a moment: closing drops what is not written yet. */
    private boolean hasUnwrittenAnswer() {
        return context.channel() instanceof RetryingSocketChannel channel && channel.hasPendingWrites();
    }

    /** Whether nothing is to be expected of it any more; {@code keepIdle} spares what has brought requests. */
    boolean isUseless(double nowMs, boolean keepIdle) {
        double sinceMs = partial ? partialSinceMs : isMute() ? connectedMs : freeSinceMs;
        double mostMs = partial
                ? longestPartialMs()
                : isMute() ? LONGEST_MUTE_MS : keepIdle ? Double.MAX_VALUE : LONGEST_IDLE_MS;
        return isFree() && nowMs - sinceMs >= mostMs;
    }

    /** How long what has come of a request may have taken. */
    private double longestPartialMs() {
        return LONGEST_PARTIAL_MS + reader.bodyBytes() / LEAST_BYTES_IN_MS;
    }

    /** Ends what the client no longer goes on with: a long request that comes too slowly, a long answer that it doesn't read. */
    void endStalled(double nowMs) {
        boolean slow = partial && wanted && nowMs - partialSinceMs - unwantedMs > longestPartialMs();
        if (slow && closing || nowMs - stalledSinceMs > LONGEST_STALL_MS) {
            close(true);
        } else if (slow && isArriving() && !ended) {
            ended = true;
            abort(HttpStatus.TIMED_OUT);
        }
    }

    /**
     * Closes it between requests, if nothing has come on it by the end of the next pass over the sockets; half a request
     * gets an answer first. Guards against a request that came while the event loop was held up: the connection looks
     * as if it had been free all that time, and closing it would leave the request without an answer. {@code closing} is
     * run only if it is closed.
     */
    void retire(Runnable closing) {
        if (!retiring) {
            retiring = true;
            long before = reads;
            NextSelect.runAfter(context.executor(), () -> endRetirement(before, closing));
        }
    }

    private void endRetirement(long before, Runnable closing) {
        retiring = false;
        if (!context.channel().isActive()) {
            return;
        }
        if (reads != before) {
            server.spared();
            return;
        }
        boolean blind = !Double.isNaN(blindSinceMs);
        if (hasUnwrittenAnswer() || blind && !isOwedAnEnd()) {
            return; // what stands there unread would go with it
        }
        closing.run();
        if (partial || blind) {
            server.toldUnread(clock.nowMs() - connectedMs);
            current = new Arrival(null, HttpStatus.TIMED_OUT, false);
            answer(current, Answer.status(HttpStatus.TIMED_OUT));
        } else {
            close(false);
        }
    }

    /** Whether its client has waited for an answer or an end for almost as long as it has to, whatever stands there unread. */
    private boolean isOwedAnEnd() {
        return partial || isMute() && clock.nowMs() - connectedMs >= LONGEST_UNREAD_MS;
    }

    /** Closes the connection if no request is at hand, {@code evenPartial}: though half a one may have come. */
    void closeIfIdle(boolean evenPartial) {
        if (isAnswered() && (evenPartial || !partial)) {
            retire(() -> {});
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
        if (current != null) {
            BodyPipe unfinished = isArriving() ? current.request().remainingBody() : null;
            current = null;
            driver.cancel(currentId);
            if (writing != null) {
                writing.abandon();
            }
            if (unfinished != null) {
                unfinished.end(false);
            }
        }
        waiting.leave();
        server.holds(-heldBytes);
        heldBytes = 0;
        arriving = null;
    }

    /** Closes the connection, unless a request on it would lose its answer; {@code broken}: none can be given any more. */
    private void close(boolean broken) {
        boolean unanswered = current != null && current.request() != null && writing == null || !waiting.isEmpty();
        if (!server.guard().checkClose(unanswered && !closing, broken).isAllowed()) {
            return;
        }
        if (!broken && hasUnwrittenAnswer()) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.close();
        }
    }

    /** Guards a request in hand against a fault of this program: it is failed, which its client is told. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        boolean inHand = context != null && current != null && current.request() != null && writing == null;
        if (cause instanceof IOException || !inHand || ended) {
            ctx.close();
            return;
        }
        server.failed(cause);
        failAtHand();
    }

    /** Fails the request at hand and ends the connection with that. */
    private void failAtHand() {
        ended = true;
        driver.cancel(currentId);
        current = new Arrival(current.request(), 0, false, current.old());
        answer(current, Answer.status(HttpStatus.BAD_GATEWAY));
    }
}
