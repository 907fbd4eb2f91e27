package ivybank.client;

import java.math.BigDecimal;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import ivybank.common.Clock;
import ivybank.exchange.RequestHandler;
import ivybank.exchange.Answer;
import ivybank.exchange.ClientRequest;
import ivybank.policy.Balancer.Effect;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** One connection from the client: its requests are answered one after another, in the order in which they came. */
final class ClientConnection extends SimpleChannelInboundHandler<RequestReader.Read> {

    private static final int MAX_WAITING = 8;
    private static final String READY_PATH = "/health/ready";
    private static final String CALL_ID = "X-Call-Id";
    private static final String CALLER = "X-Caller";
    private static final String BUDGET = "X-Budget-Ms";
    private static final String AGAIN = "X-Again";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int NOT_ALLOWED = 405;
    private static final int TIMED_OUT = 408;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    /** A client that connects has something to ask: by then it has, or it won't. */
    private static final double LONGEST_MUTE_MS = 2000;
    private static final double LONGEST_PARTIAL_MS = 2000;
    private static final double LONGEST_IDLE_MS = 10_000;
    /** Where there are many connections, what is of no use for so long goes. */
    private static final double MUTE_IS_SPARE_MS = 250;
    private static final double PARTIAL_IS_SPARE_MS = 1000;
    private static final double IDLE_IS_SPARE_MS = 250;

    private final RequestReader reader;
    private final ClientServer server;
    private final RequestHandler driver;
    private final Clock clock;
    private final Deque<Arrival> waiting = new ArrayDeque<>(1);
    private ChannelHandlerContext context;
    /** The request at hand, or null between requests. */
    private Arrival current;
    private int currentId;
    /** Since when no request has been at hand, by the module's clock. */
    private double freeSinceMs;
    private boolean mute = true;
    /** Whether something has come that can't be read: nothing behind it is. */
    private boolean ended;
    /** Whether it is about to be closed as of no use. */
    private boolean retiring;
    /** Reads that brought something, so far. */
    private long reads;
    /** Whether half a request has come, and on a connection that has brought others since when. */
    private boolean partial;
    private double partialSinceMs;

    /** A request as it came, or the status of one that is not to be passed on. */
    private record Arrival(ClientRequest request, int status, boolean keepAlive) {
    }

    ClientConnection(RequestReader reader, ClientServer server, RequestHandler driver, Clock clock) {
        this.reader = reader;
        this.server = server;
        this.driver = driver;
        this.clock = clock;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        freeSinceMs = clock.nowMs();
        server.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RequestReader.Read message) {
        mute = false;
        ended |= message.head() == null;
        waiting.addLast(read(message));
        adjustReading();
        next();
    }

    /** Bounds what waits here: requests behind the one at hand, and answers that the client does not read. */
    private void adjustReading() {
        Channel channel = context.channel();
        channel.config().setAutoRead(!ended && waiting.size() < MAX_WAITING && channel.isWritable());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        adjustReading();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reads++;
        if (!partial && !mute && reader.midRequest()) {
            partialSinceMs = clock.nowMs();
        }
        partial = reader.midRequest();
        ctx.fireChannelReadComplete();
    }

    private void next() {
        if (current != null || waiting.isEmpty()) {
            return;
        }
        Arrival arrival = waiting.pollFirst();
        current = arrival;
        adjustReading();
        if (arrival.request == null) {
            answer(arrival, Answer.status(arrival.status));
        } else if (driver.isOpen(arrival.request.callId())) {
            // Guards against one client that would have another one's request run twice, or be answered in its place.
            answer(arrival, Answer.status(CONFLICT));
        } else if (server.overfull()) {
            current = new Arrival(arrival.request, 0, false);
            answer(current, Answer.refused(server.retryAfterMs()));
        } else if (server.takesTheLast()) {
            answer(arrival, Answer.refused(server.retryAfterMs()));
        } else {
            int id = driver.request(arrival.request, answer -> answer(arrival, answer));
            currentId = current == arrival ? id : 0;
        }
    }

    private Arrival read(RequestReader.Read message) {
        if (message.head() == null) {
            return new Arrival(null, message.status(), false);
        }
        HttpRequest head = message.head();
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        String uri = head.uri();
        int end = uri.indexOf('?');
        String path = end < 0 ? uri : uri.substring(0, end);
        if (path.equals(READY_PATH)) {
            return new Arrival(null, server.ready() ? OK : UNAVAILABLE, keepAlive);
        }
        int slash = path.indexOf('/', 1);
        int requestClass = server.classOf(slash < 0 ? path : path.substring(0, slash));
        if (requestClass < 0) {
            return new Arrival(null, NOT_FOUND, keepAlive);
        }
        HttpMethod method = server.effectOf(requestClass) == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(method)) {
            return new Arrival(null, NOT_ALLOWED, keepAlive);
        }
        RequestFields fields = new RequestFields(head.headers());
        String id = fields.token(CALL_ID);
        int budgetMs = fields.milliseconds(BUDGET);
        boolean strayBody = method.equals(HttpMethod.GET) && message.body().length > 0;
        if (id == null || budgetMs <= 0 || !fields.isTokenOrAbsent(IDEMPOTENCY_KEY) || !RequestFields.isPlain(uri)
                || strayBody) {
            return new Arrival(null, BAD_REQUEST, keepAlive);
        }
        String identity = server.identityHeader() == null ? null : fields.token(server.identityHeader());
        if (server.identityHeader() != null && !fields.isTokenOrAbsent(server.identityHeader())) {
            return new Arrival(null, BAD_REQUEST, keepAlive); // it must not be taken for one without an identity
        }
        return new Arrival(new ClientRequest(method, uri, id, fields.token(IDEMPOTENCY_KEY), message.body(),
                requestClass, server.tenantOf(head.headers().get(CALLER)), "1".equals(head.headers().get(AGAIN)),
                clock.nowMs(), budgetMs, identity, null), 0, keepAlive);
    }

    private void answer(Arrival arrival, Answer answer) {
        if (current != arrival || !context.channel().isActive()) {
            return;
        }
        current = null;
        currentId = 0;
        freeSinceMs = clock.nowMs();
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status()), Unpooled.wrappedBuffer(answer.body()));
        HttpHeaders headers = response.headers();
        headers.setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        if (answer.contentType() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
        if (answer.retryAfterMs() > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, BigDecimal.valueOf((long) Math.ceil(answer.retryAfterMs()), 3)
                    .stripTrailingZeros().toPlainString());
        }
        boolean keepAlive = arrival.keepAlive && !(server.draining() && waiting.isEmpty());
        HttpUtil.setKeepAlive(response, keepAlive);
        if (keepAlive) {
            context.writeAndFlush(response);
            next();
        } else {
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    double freeSinceMs() {
        return freeSinceMs;
    }

    /** Whether it may be closed where there are many. */
    boolean isSpare(double nowMs) {
        return isLeft(nowMs, MUTE_IS_SPARE_MS, PARTIAL_IS_SPARE_MS, IDLE_IS_SPARE_MS);
    }

    /** Whether nothing is to be expected of it any more; {@code keepIdle} spares what has brought requests. */
    boolean isUseless(double nowMs, boolean keepIdle) {
        return isLeft(nowMs, LONGEST_MUTE_MS, LONGEST_PARTIAL_MS, keepIdle ? Double.MAX_VALUE : LONGEST_IDLE_MS);
    }

    /** Whether it has been free for so long: since it came, since half a request did, or since its last answer. */
    private boolean isLeft(double nowMs, double muteMs, double partialMs, double idleMs) {
        double sinceMs = partial && !mute ? partialSinceMs : freeSinceMs;
        double mostMs = partial ? partialMs : mute ? muteMs : idleMs;
        return !retiring && current == null && waiting.isEmpty() && nowMs - sinceMs >= mostMs;
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
            // Not execute(): that would run in this same pass, before the sockets are looked at again.
            context.executor().schedule(() -> endRetirement(before, closing), 1, TimeUnit.MILLISECONDS);
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
        closing.run();
        if (partial) {
            current = new Arrival(null, TIMED_OUT, false);
            answer(current, Answer.status(TIMED_OUT));
        } else {
            context.close();
        }
    }

    /** Closes the connection if no request is at hand, {@code evenPartial}: though half a one may have come. */
    void closeIfIdle(boolean evenPartial) {
        if (current == null && waiting.isEmpty() && (evenPartial || !partial)) {
            retire(() -> { });
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
        if (current != null) {
            current = null;
            driver.clientLeft(currentId);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
