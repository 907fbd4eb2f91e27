package ivybank.client;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import ivybank.common.Clock;
import ivybank.common.NextSelect;
import ivybank.exchange.Answer;
import ivybank.exchange.BodyPipe;
import ivybank.exchange.ClientLink;
import ivybank.exchange.ClientRequest;
import ivybank.exchange.RequestHandler;
import ivybank.transport.RetryingSocketChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** A client's connection. Its requests are answered one after another, in the order in which they arrived. */
@SuppressWarnings("ReferenceEquality") // two arrivals with equal components are still two
final class ClientConnection extends SimpleChannelInboundHandler<RequestReader.RequestEvent>
        implements BodyPipe.Source, ClientLink {

    private static final long READ_DELAY_MS = 5;
    /**
     * The timeout for a connection on which reads fail and which may carry an unread request: it is answered with 408,
     * within the 3 s in which a silent client is to be answered.
     */
    private static final double UNREADABLE_TIMEOUT_MS = 2800;
    /** The usual delay between accepting a connection and activating its channel, if nothing fails. */
    private static final double USUAL_ACCEPT_DELAY_MS = 10;
    /** The timeout for a request whose connection is unreadable: a disconnect of the client would go unnoticed. */
    private static final double UNREADABLE_REQUEST_TIMEOUT_MS = 60;

    /** The part of a request's time after which it is refused if its client's input has not been read out by then. */
    private static final double UNCONFIRMED_FRACTION = 0.5;

    /** The limit on the time for which answers are written to a connection that can't be read any more. */
    private static final long UNWRITTEN_TIMEOUT_MS = 1000;

    /** How many requests are read of a client that goes on sending while its connection is to end. */
    private static final int MAX_REQUESTS_WHILE_ENDING = 64;

    /** A request that was handled and answered. */
    private record AnsweredRequest(int number, String callId) {}

    private final long id;
    private final RequestReader reader;
    private final ClientServer server;
    private final RequestHandler handler;
    private final Clock clock;
    private final RequestQueue waiting;
    private final ArrivalParser parser;
    private boolean answering;
    private ConnectionCloser closer;
    private AnswerWriter answers;
    private BodyReading reading;
    private ChannelHandlerContext context;
    /** Whether the next input may have arrived long ago: in the backlog, or while nothing could be read. */
    private boolean mayBeDelayed;
    /** The time since when reads have failed, or NaN. */
    private double unreadableSinceMs = Double.NaN;

    private final LoopShare share = new LoopShare();
    private final ConnectionActivity activity = new ConnectionActivity();
    private LastByteTime lastByte;
    /** Whether input is being processed, so that what this channel holds has just been read. */
    private boolean processingRead;
    /** The request being processed, or null between requests. */
    private Arrival current;

    /** The request that was answered last, until a request behind the answer shows that it was read; null if it was not handled. */
    private AnsweredRequest answered;

    /** The number of the request being processed, or 0 if it is not handled. */
    private int currentId;

    /** Whether malformed input was received; nothing behind it is parsed. */
    private boolean inputEnded;
    /** The number of requests that were received since the connection is to end with its next answer. */
    private int requestsWhileEnding;
    /** Whether the connection is closed once the rest of a request has been read that was answered early. */
    private boolean closeAfterRequest;
    /** Whether this side ends the connection as soon as nothing is queued on it. */
    private boolean endsWhenAnswered;
    /** Whether no request is forwarded any more: each is answered with a failure. */
    private boolean failing;
    /** Whether the answer to the current request is about to be written, whatever the look into the socket before it shows. */
    private boolean answerReady;

    /** @param id the number of the connection in this process, for the log */
    ClientConnection(long id, RequestReader reader, ClientServer server, RequestHandler handler, Clock clock) {
        this.id = id;
        this.reader = reader;
        this.server = server;
        this.handler = handler;
        this.clock = clock;
        this.waiting = new RequestQueue(server.memory());
        this.parser = new ArrivalParser(server, clock, this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        closer = new ConnectionCloser(ctx, server.guard(), this::isRequestOwed);
        answers = new AnswerWriter(ctx, clock, server.memory());
        lastByte = new LastByteTime(clock.nowMs());
        reading = new BodyReading(ctx, clock, server.memory(), lastByte);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        reader.setSource(this);
        double nowMs = clock.nowMs();
        double waitedMs = 0;
        mayBeDelayed = server.recentlyDelayed();
        if (ctx.channel() instanceof ClientSocketChannel channel) {
            waitedMs = channel.acceptedConnection().waitedMs();
            lastByte.acceptedLate(nowMs - channel.acceptedConnection().maxWaitedMs());
            mayBeDelayed |= channel.acceptedConnection().maxWaitedMs() > USUAL_ACCEPT_DELAY_MS;
        } else {
            reading.foundEmpty();
        }
        activity.opened(nowMs, waitedMs);
        server.connectionOpened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RequestReader.RequestEvent message) {
        boolean wasProcessing = processingRead;
        processingRead = true;
        try {
            receive(message);
        } finally {
            processingRead = wasProcessing;
        }
    }

    private void receive(RequestReader.RequestEvent message) {
        if (message == RequestReader.RequestEvent.BODY_ENDING) {
            bodyEnding();
            return;
        }
        if (message == RequestReader.RequestEvent.BODY_COMPLETE) {
            double earliestMs = lastByte.earliestMs(clock.nowMs());
            reading.bodyEnded();
            if (closeAfterRequest) {
                closer.endAfterAnswers(EndReason.LAST_ANSWER);
            } else if (current != null
                    && current.request() != null
                    && current.request().remainingBody() != null) {
                handler.bodyCompleted(currentId, earliestMs);
            }
            return;
        }
        inputEnded |= message.head() == null;
        if (isToEnd() && ++requestsWhileEnding >= MAX_REQUESTS_WHILE_ENDING && message.remainingBody() == null) {
            inputEnded = true;
            reader.stop();
        }
        activity.requestReceived();
        if (activity.requests() == 2) {
            server.connectionReused();
        }
        if (closeAfterRequest) {
            message.release();
            closer.endAfterAnswers(EndReason.LAST_ANSWER);
        } else if (inputEnded && isRequestIncomplete()) {
            abort(Answer.status(message.status()));
        } else {
            enqueue(message);
            processNext();
        }
    }

    /** Refuses a long request whose last byte comes so late that it may not be held, before that byte is passed on. */
    private void bodyEnding() {
        if (server.mayHold(clock.nowMs())) {
            return;
        }
        if (isRequestIncomplete()) {
            refuseIncomplete();
        } else {
            waiting.refuseIncomplete();
        }
    }

    /**
     * Queues a request. To protect memory from a client that sends without waiting for answers, requests beyond the limit
     * are not kept but refused in order; the connection is still read, so that a disconnect is noticed at once.
     */
    private void enqueue(RequestReader.RequestEvent message) {
        noteAnswerRead();
        Arrival arrival = waiting.hasSurplus() ? null : parser.parse(message, lastByte.earliestMs(clock.nowMs()));
        if (arrival == null || !waiting.offer(arrival, current != null)) {
            refuseInOrder(message);
            return;
        }
        if (arrival.request() != null && message.remainingBody() != null) {
            reading.bodyStarted(arrival.request());
        }
    }

    /** Notifies the handler that the last answer was read, which a request behind it shows. */
    private void noteAnswerRead() {
        if (answered != null && current == null && waiting.isEmpty() && !hasUnwrittenAnswer()) {
            handler.answerRead(answered.number(), answered.callId());
            answered = null;
        }
    }

    private void refuseInOrder(RequestReader.RequestEvent message) {
        message.release();
        if (message.head() == null) {
            waiting.endWithStatus(message.status());
        } else if (!waiting.addSurplus()) {
            inputEnded = true;
            reader.stop();
        }
    }

    /** Returns whether the last byte of the current request is still to come. */
    private boolean isRequestIncomplete() {
        return current != null && current.request() != null && current.request().isIncomplete();
    }

    /**
     * Refuses the request in progress if its last byte has not been passed on yet: no node has the whole of it. The rest of it
     * is still read, so that its client gets to see the answer. One that is being answered already goes on.
     */
    void refuseIncomplete() {
        if (isRequestIncomplete() && !answers.isStreaming()) {
            server.countRefusal();
            abort(Answer.refused(server.retryAfterMs()));
        }
    }

    /** Answers the current request, which will never be complete and so has not run. */
    private void abort(Answer failure) {
        Arrival arrival = current;
        handler.clientDisconnected(currentId);
        answer(arrival, failure);
    }

    @Override
    public void setDemand(boolean more) {
        reading.setDemand(more);
    }

    @Override
    public void abandoned() {
        setDemand(true); // the rest of the body is still read
    }

    /**
     * Reads and writes without being notified by the selector: registering with it may have failed, which Java does not
     * report, even if it worked before and Netty has replaced the selector.
     *
     * @param evenIdle whether to do so although no request is in progress
     */
    void pollChannel(boolean evenIdle) {
        if (!(context.channel() instanceof RetryingSocketChannel channel)) {
            return;
        }
        reading.adjust(); // there may be memory again for a body that nobody consumes
        if (evenIdle || current != null || activity.isSilent() || channel.hasPendingWrites()) {
            boolean wasDelayed = mayBeDelayed;
            mayBeDelayed = true; // input found now may have arrived long ago
            RetryingSocketChannel.ReadResult found = channel.pollAndRearm();
            noteReadResult(found);
            if (found == RetryingSocketChannel.ReadResult.EXHAUSTED
                    || found == RetryingSocketChannel.ReadResult.NOT_READ) {
                mayBeDelayed = wasDelayed; // nothing was read
            }
        }
    }

    /** Records that the connection is readable, which a read that finds nothing more shows as well as any other. */
    private void noteReadResult(RetryingSocketChannel.ReadResult found) {
        if (found == RetryingSocketChannel.ReadResult.EXHAUSTED) {
            noteReadable();
            reading.foundEmpty();
        }
    }

    private void noteReadable() {
        unreadableSinceMs = Double.NaN;
    }

    /**
     * Fails the current request with an answer if its connection has been unreadable for too long: whether the client has
     * disconnected can't be seen.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == RetryingSocketChannel.Event.READ_FAILED) {
            double nowMs = clock.nowMs();
            unreadableSinceMs = Double.isNaN(unreadableSinceMs) ? nowMs : unreadableSinceMs;
            lastByte.unwatched(nowMs);
            mayBeDelayed = true; // input read next may have been waiting already
            boolean inProgress = current != null && current.request() != null && !answers.isStreaming();
            if (inProgress && nowMs - unreadableSinceMs > UNREADABLE_REQUEST_TIMEOUT_MS) {
                server.logUnreadable();
                failCurrent();
            } else if (isFree() && nowMs - unreadableSinceMs > server.unreadableIdleTimeoutMs()) {
                server.logRequestTimeout(activity.sinceConnectedMs(nowMs));
                answerLast(HttpStatus.REQUEST_TIMEOUT);
            }
        }
        if (event == RetryingSocketChannel.Event.READ_ENDED && ctx.channel() instanceof RetryingSocketChannel channel) {
            endAfterError(EndReason.READ_FAILED, channel.readError());
            abortLater(EndReason.READ_FAILED);
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        answers.writabilityChanged();
        processNext();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (ctx.channel() instanceof RetryingSocketChannel channel && !channel.getAndClearHasRead()) {
            ctx.fireChannelReadComplete(); // the read failed, or was a poll that found nothing
            return;
        }
        boolean empty = !(ctx.channel() instanceof RetryingSocketChannel channel) || channel.isDrained();
        reading.readEnded(empty && !reader.hasCompleteBody(), reader.bodyBytes());
        noteReadable();
        if (activity.read(clock.nowMs(), reader.isMidRequest())) {
            reading.requestStarted();
        }
        reading.adjust();
        ctx.fireChannelReadComplete();
    }

    /** Notifies that a part of the input has been processed, which took this many milliseconds; reads on later if it took too long. */
    void inputProcessed(double workedMs) {
        double pauseMs = share.pauseAfter(clock.nowMs(), workedMs);
        if (pauseMs > 0) {
            reading.pause(pauseMs);
        }
    }

    /** Processes queued requests, unless the client is not reading its answers. */
    private void processNext() {
        if (answering) {
            return;
        }
        answering = true;
        while (current == null
                && !closer.isEnding()
                && context.channel().isActive()
                && context.channel().isWritable()) {
            Arrival arrival = waiting.poll();
            if (arrival == null) {
                break;
            }
            startRequest(arrival);
        }
        answering = false;
    }

    /**
     * Starts a request. One that is complete is not processed within the read that has brought it: the client may have
     * disconnected meanwhile, with its end of stream unread in the socket behind the request, and the socket can be looked
     * into before the request is sent only once the read has ended. If its input was delayed, all sockets are read first.
     */
    private void startRequest(Arrival arrival) {
        current = arrival;
        boolean delayed = mayBeDelayed;
        mayBeDelayed = false;
        if (arrival.request() == null || arrival.request().remainingBody() != null) {
            process(arrival);
        } else if (delayed) {
            NextSelect.runAfter(context.executor(), () -> processOnceConfirmed(arrival));
        } else if (processingRead) {
            context.executor().execute(() -> processOnceRead(arrival));
        } else {
            process(arrival);
        }
    }

    private void processOnceRead(Arrival arrival) {
        if (current == arrival && context.channel().isActive()) {
            process(arrival);
            processNext();
        }
    }

    private void processOnceConfirmed(Arrival arrival) {
        if (current != arrival || !context.channel().isActive()) {
            return;
        }
        boolean clientPresent = verifyClientPresent();
        if (current != arrival) {
            return; // it has been failed, because its connection is unreadable
        }
        if (clientPresent) {
            process(arrival);
            processNext();
        } else if (clock.nowMs() - arrival.request().arrivedMs()
                > UNCONFIRMED_FRACTION * arrival.request().budgetMs()) {
            server.countRefusal();
            answer(arrival, Answer.refused(server.retryAfterMs()));
            processNext();
        } else if (context.channel().isActive()) {
            context.executor().schedule(() -> processOnceConfirmed(arrival), READ_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Reads pending input, so that no request is sent to a node after its client has disconnected unnoticed because the
     * selector reported nothing or reads failed.
     */
    @Override
    public boolean verifyClientPresent() {
        if (processingRead || isRequestIncomplete() || !(context.channel() instanceof RetryingSocketChannel channel)) {
            return true;
        }
        if (!channel.isActive()) {
            return false;
        }
        RetryingSocketChannel.ReadResult found = channel.readUntilEmpty();
        noteReadResult(found);
        // Behind input that is left unread the client's end of stream may follow.
        return found == RetryingSocketChannel.ReadResult.EXHAUSTED && channel.isActive();
    }

    private void process(Arrival arrival) {
        if (failing) {
            answer(arrival, Answer.status(HttpStatus.BAD_GATEWAY));
        } else if (arrival.isSurplus()) {
            server.countRefusal();
            answer(arrival, Answer.refused(server.retryAfterMs()));
        } else if (arrival.request() == null) {
            answer(arrival, Answer.status(arrival.status()));
        } else if (handler.isInFlight(arrival.request().callId()) || handler.mayHaveRun(arrival.request())) {
            // Otherwise one client could have another's request run twice, or receive its answer.
            handler.turnedAway(arrival.request().callId());
            answer(arrival, Answer.status(HttpStatus.CONFLICT));
        } else if (!server.mayHold(lastByteMs(arrival.request()))) {
            server.countRefusal();
            endsWhenAnswered = true;
            answer(arrival, Answer.refused(server.retryAfterMs()));
        } else if (server.isOverCapacity()) {
            endsWhenAnswered = true;
            answer(arrival, Answer.refused(server.retryAfterMs()));
        } else if (server.takesReservedConnection()) {
            answer(arrival, Answer.refused(server.retryAfterMs()));
        } else {
            forward(arrival);
        }
    }

    /** Returns when the last byte of a request was read; now, if it is still to come. */
    private double lastByteMs(ClientRequest request) {
        return request.isIncomplete() ? clock.nowMs() : request.arrivedMs();
    }

    /**
     * Passes a request to the handler. Sending it at once may show that its client has left: it is then answered here before
     * the handler has returned its number, and cancelled afterwards.
     */
    private void forward(Arrival arrival) {
        AtomicBoolean answeredByHandler = new AtomicBoolean();
        int id = handler.handle(arrival.request(), answer -> {
            answeredByHandler.set(true);
            answer(arrival, answer);
        });
        if (current == arrival) {
            currentId = id;
        } else if (!answeredByHandler.get()) {
            handler.clientDisconnected(id);
        }
    }

    private void answer(Arrival arrival, Answer answer) {
        if (current != arrival || !context.channel().isActive()) {
            abandonBody(answer);
            return;
        }
        boolean answeredEarly = arrival.request() != null && arrival.request().isIncomplete();
        boolean keepAlive = isKeptAlive(arrival) && !answeredEarly;
        if (!context.channel().isActive()) { // as the look into the socket has shown
            abandonBody(answer);
            return;
        }
        arrival.release();
        if (answer.remainingBody() != null) {
            boolean staysOpen = keepAlive && AnswerWriter.hasKnownEnd(answer, arrival.http10());
            answers.stream(
                    answer,
                    staysOpen,
                    arrival.http10(),
                    complete -> streamEnded(arrival, complete, staysOpen, answeredEarly));
            return;
        }
        finishRequest();
        completeAnswer(answers.write(answer, keepAlive), keepAlive, answeredEarly);
    }

    private static void abandonBody(Answer answer) {
        if (answer.remainingBody() != null) {
            answer.remainingBody().abandon();
        }
    }

    /** Records that the current request has been answered. */
    private void finishRequest() {
        answered = current == null || currentId == 0
                ? null
                : new AnsweredRequest(currentId, current.request().callId());
        current = null;
        currentId = 0;
        activity.freed(clock.nowMs());
    }

    /**
     * Returns whether the connection is kept open after this answer. Where this side would end it, the socket is looked into
     * first: a request that has arrived behind this one is answered, too.
     */
    private boolean isKeptAlive(Arrival arrival) {
        if (!arrival.keepAlive()) {
            return false;
        }
        boolean wantsEnd = isToEnd() || activity.requests() == 1 && server.closesAfterFirstAnswer();
        if (wantsEnd && waiting.isEmpty() && canReadNow()) {
            answerReady = true;
            closer.emptySocket();
            answerReady = false;
        }
        return !wantsEnd || !waiting.isEmpty();
    }

    /** Returns whether the connection ends as soon as nothing that was received on it is unanswered. */
    private boolean isToEnd() {
        return endsWhenAnswered || server.draining();
    }

    /** Returns whether the socket may be read: no read of it is under way, and none has failed last. */
    private boolean canReadNow() {
        return !processingRead && !failing && Double.isNaN(unreadableSinceMs) && !isRequestIncomplete();
    }

    /**
     * Completes an answer. After an early one the connection is closed only once the rest of the request has been read:
     * closing before would reset the connection and could lose the answer.
     */
    private void completeAnswer(ChannelFuture written, boolean keepAlive, boolean answeredEarly) {
        written.addListener(done -> answerWritten(done.cause()));
        if (answeredEarly && !inputEnded) {
            closeAfterRequest = true;
            reading.adjust();
        } else if (keepAlive) {
            processNext();
        } else {
            reader.stop();
            waiting.abandon(); // the client said that this request is its last, or nothing behind it can be parsed
            closer.endAfter(written, EndReason.LAST_ANSWER);
        }
    }

    private void answerWritten(Throwable failure) {
        if (failure != null && context.channel().isActive()) {
            closer.abort(EndReason.WRITE_FAILED, failure);
        }
    }

    /** Completes a streamed answer. If it has broken off, the connection is reset, so that the client can tell. */
    private void streamEnded(Arrival arrival, boolean complete, boolean keepAlive, boolean answeredEarly) {
        if (current != arrival) {
            return; // the client has disconnected
        }
        finishRequest();
        if (complete) {
            boolean staysOpen = keepAlive && !(failing && waiting.isEmpty());
            completeAnswer(answers.writeStreamEnd(), staysOpen, answeredEarly);
        } else {
            closer.reset(EndReason.ANSWER_INCOMPLETE);
        }
    }

    /** Returns what the connection is doing. */
    ConnectionState state() {
        if (answers.isStreaming()) {
            return ConnectionState.ANSWERING;
        }
        if (current != null) {
            return ConnectionState.IN_PROGRESS;
        }
        return activity.isPartial() ? ConnectionState.RECEIVING : ConnectionState.IDLE;
    }

    double freeSinceMs() {
        return activity.freeSinceMs();
    }

    /** Returns whether the connection may be closed if many connections are open. */
    boolean isSurplus(double nowMs) {
        return activity.isSurplus(nowMs) && isFree();
    }

    /** Returns whether the client has stopped within the body of a request that is not in progress yet. */
    boolean hasStalledRequest(double nowMs) {
        return activity.isPartial() && reader.bodyBytes() > 0 && isSurplus(nowMs);
    }

    /** Returns whether no further request is to be expected, given that clients do not reuse connections. */
    boolean isSingleUseSurplus(double nowMs) {
        return activity.isSingleUseSurplus(nowMs) && isFree();
    }

    boolean hasServedOnce() {
        return activity.hasServedOnce();
    }

    /** Returns whether no request is in progress and no answer is waiting to be written. */
    private boolean isFree() {
        return !closer.isEnding() && isAnswered();
    }

    private boolean isAnswered() {
        return current == null && waiting.isEmpty() && !hasUnwrittenAnswer();
    }

    /** Returns whether bytes are waiting to be written, which closing would drop. */
    private boolean hasUnwrittenAnswer() {
        return context.channel() instanceof RetryingSocketChannel channel && channel.hasPendingWrites();
    }

    /**
     * Returns whether the connection has timed out.
     *
     * @param keepIdle whether connections that have carried requests are kept
     */
    boolean hasTimedOut(double nowMs, boolean keepIdle) {
        return isFree() && (activity.hasTimedOut(nowMs, keepIdle, reader.bodyBytes()) || hasStopped(nowMs));
    }

    /** Returns whether the client has stopped within a request, and not because this side reads no more of it. */
    private boolean hasStopped(double nowMs) {
        return lastByte.isWatched() && activity.hasStopped(nowMs);
    }

    /**
     * Ends requests that arrive too slowly, and connections on which the client has stopped reading a long answer. Refuses a
     * request whose rest could not be read in time for lack of memory: its client may have sent the last byte, and its node
     * has not got it.
     */
    void endStalled(double nowMs) {
        boolean tooSlow = hasStopped(nowMs)
                || reading.isDemanded() && activity.isTooSlow(nowMs, reading.notDemandedMs(), reader.bodyBytes());
        if (tooSlow && closeAfterRequest || answers.isStalled(nowMs)) {
            closer.abort(EndReason.CLIENT_STALLED, null);
        } else if (tooSlow && isRequestIncomplete() && !inputEnded) {
            inputEnded = true;
            abort(Answer.status(HttpStatus.REQUEST_TIMEOUT));
        } else if (isRequestIncomplete() && reading.isOverdue(nowMs)) {
            server.logOverdue(current.request().callId(), reading.describe(nowMs));
            abort(Answer.refused(server.retryAfterMs()));
        }
    }

    /**
     * Closes the connection between requests, right after its socket was found empty; a partial request is answered first.
     * What the selector reported last does not count: it may have reported nothing, or the process was held up since.
     *
     * @param closing run only if the connection is closed
     */
    void retire(EndReason reason, Runnable closing) {
        if (closer.isEnding() || !context.channel().isActive()) {
            return;
        }
        long readCountBefore = activity.readCount();
        boolean empty = closer.emptySocket();
        if (activity.readCount() != readCountBefore) {
            server.countRetirementCancelled();
            return;
        }
        boolean ended = closer.isEnding() || !context.channel().isActive();
        if (ended || hasUnwrittenAnswer() || !empty && !mustBeEnded()) {
            return; // unread input would be lost
        }
        closing.run();
        if (activity.isPartial() || !empty) {
            endPartial();
        } else {
            closer.closeUnused(reason);
        }
    }

    /** Answers what is partial or unread with a status, and ends the connection. */
    private void answerLast(int status) {
        current = new Arrival(null, status, false);
        answer(current, Answer.status(status));
    }

    /** Returns whether the client has waited almost as long as it may for an answer or a close, whatever input is unread. */
    private boolean mustBeEnded() {
        return activity.isPartial()
                || activity.isSilent() && activity.sinceConnectedMs(clock.nowMs()) >= UNREADABLE_TIMEOUT_MS;
    }

    /**
     * Closes the connection if no request is in progress.
     *
     * @param evenPartial whether to close it although a partial request has been received
     */
    void closeIfIdle(boolean evenPartial) {
        if (isAnswered() && (evenPartial || !activity.isPartial())) {
            retire(EndReason.DRAIN, () -> {});
        }
    }

    /** Ends a connection with a partial request: with an answer, unless that request was answered before its end. */
    private void endPartial() {
        if (closeAfterRequest) {
            reader.stop();
            closer.endAfterAnswers(EndReason.LAST_ANSWER);
        } else {
            server.logRequestTimeout(activity.sinceConnectedMs(clock.nowMs()));
            answerLast(HttpStatus.REQUEST_TIMEOUT);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.ends().ended(id, closer.reason(), unanswered(), activity.quietMs(clock.nowMs()), closer.error());
        server.connectionClosed(this);
        if (current != null) {
            abandonCurrent();
        }
        waiting.abandon();
    }

    /** Drops the current request, whose client has left. */
    private void abandonCurrent() {
        Arrival abandoned = current;
        BodyPipe unfinished = isRequestIncomplete() ? abandoned.request().remainingBody() : null;
        current = null;
        handler.clientDisconnected(currentId);
        answers.abandon();
        if (unfinished != null) {
            unfinished.end(false);
        }
        abandoned.release();
    }

    /** Returns whether a request that was received has no answer yet, and one can still be given. */
    private boolean isRequestOwed() {
        boolean inProgress = current != null && current.request() != null && !answers.isStreaming();
        return (inProgress || !waiting.isEmpty()) && !closeAfterRequest;
    }

    /** Returns what is owed on this connection now. */
    private UnansweredState unanswered() {
        ClientRequest request = current == null ? null : current.request();
        return new UnansweredState(
                request == null ? null : request.callId(),
                !waiting.isEmpty(),
                activity.isPartial(),
                answers.isStreaming(),
                answers.hasUnwrittenAnswer());
    }

    /** Answers what was received with a failure where an error ends the connection, instead of dropping it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        EndReason reason = cause instanceof IOException ? EndReason.READ_FAILED : EndReason.INTERNAL_ERROR;
        if (reason == EndReason.INTERNAL_ERROR) {
            server.logFailure(cause);
        }
        endAfterError(reason, cause);
    }

    private void endAfterError(EndReason reason, Throwable cause) {
        if (answers.isStreaming()) {
            endAfterStreamedAnswer(reason, cause);
        } else if (closer.isEnding() || !context.channel().isActive()) {
            closer.failed(reason, cause);
            abortLater(reason); // the last answer may not be written yet
        } else {
            failAll(reason, cause);
        }
    }

    /** Closes the connection after the time in which unwritten answers are retried. */
    private void abortLater(EndReason reason) {
        context.executor()
                .schedule(
                        () -> {
                            if (!answers.isLastStreamed()) { // it takes as long as its client reads
                                closer.abort(reason, null);
                            }
                        },
                        UNWRITTEN_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Ends the connection when the answer that is being streamed, and failures for the requests behind it, are written. */
    private void endAfterStreamedAnswer(EndReason reason, Throwable cause) {
        closer.failed(reason, cause);
        failing = true;
        endsWhenAnswered = true;
        inputEnded = true;
    }

    /** Fails all requests that were received, and one that may stand unread, each with an answer, and ends the connection. */
    private void failAll(EndReason reason, Throwable cause) {
        closer.failed(reason, cause);
        failing = true;
        if (answerReady) {
            endsWhenAnswered = true;
        } else if (current != null) {
            failCurrent();
        } else if (waiting.isEmpty()) {
            answerLast(HttpStatus.BAD_GATEWAY);
        } else {
            endsWhenAnswered = true;
            processNext();
        }
    }

    /** Fails the current request; the connection ends when all behind it are answered. */
    private void failCurrent() {
        endsWhenAnswered = true;
        inputEnded |= isRequestIncomplete();
        handler.clientDisconnected(currentId);
        answer(current, Answer.status(HttpStatus.BAD_GATEWAY));
    }
}
