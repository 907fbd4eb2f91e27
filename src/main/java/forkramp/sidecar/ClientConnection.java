package forkramp.sidecar;

import java.math.BigDecimal;
import java.util.ArrayDeque;
import java.util.Deque;

import forkramp.Balancer.Effect;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** One connection from the client: its requests are answered one after another, in the order in which they came. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final int MAX_WAITING = 8;
    private static final String READY_PATH = "/health/ready";
    private static final String CALL_ID = "X-Call-Id";
    private static final String CALLER = "X-Caller";
    private static final String BUDGET = "X-Budget-Ms";
    private static final String AGAIN = "X-Again";
    private static final int MAX_BUDGET_MS = 3_600_000;
    /** A client that connects has something to ask: by then it has, or it won't. */
    private static final double LONGEST_MUTE_MS = 2000;
    private static final double MUTE_IS_SPARE_MS = 250;
    /** A connection that was idle for so long may be closed at any time, and is after {@link #LONGEST_IDLE_MS}. */
    private static final double IDLE_IS_SPARE_MS = 2000;
    private static final double LONGEST_IDLE_MS = 10_000;

    private final ClientServer server;
    private final Driver driver;
    private final Clock clock;
    private final Deque<Arrival> waiting = new ArrayDeque<>(1);
    private ChannelHandlerContext context;
    /** The request at hand, or null between requests. */
    private Arrival current;
    private int currentId;
    /** Since when no request has been at hand, by the module's clock. */
    private double freeSinceMs;
    private boolean mute = true;

    /** A request as it came, or the status of one that is not to be passed on. */
    private record Arrival(ClientRequest request, int status, boolean keepAlive) {
    }

    ClientConnection(ClientServer server, Driver driver, Clock clock) {
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
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
        mute = false;
        waiting.addLast(read(message));
        ctx.channel().config().setAutoRead(waiting.size() < MAX_WAITING);
        next();
    }

    private void next() {
        if (current != null || waiting.isEmpty()) {
            return;
        }
        Arrival arrival = waiting.pollFirst();
        current = arrival;
        context.channel().config().setAutoRead(true);
        if (arrival.request == null) {
            answer(arrival, Answer.status(arrival.status));
        } else if (server.overfull()) {
            current = new Arrival(arrival.request, 0, false);
            answer(current, Answer.refused(server.retryAfterMs()));
        } else {
            int id = driver.request(arrival.request, answer -> answer(arrival, answer));
            currentId = current == arrival ? id : 0;
        }
    }

    private Arrival read(FullHttpRequest message) {
        boolean keepAlive = HttpUtil.isKeepAlive(message);
        if (message.decoderResult().isFailure()) {
            return new Arrival(null, 400, false);
        }
        String path = message.uri();
        int end = path.indexOf('?');
        path = end < 0 ? path : path.substring(0, end);
        if (path.equals(READY_PATH)) {
            return new Arrival(null, driver.ready() ? 200 : 503, keepAlive);
        }
        int slash = path.indexOf('/', 1);
        int requestClass = server.classOf(slash < 0 ? path : path.substring(0, slash));
        if (requestClass < 0) {
            return new Arrival(null, 404, keepAlive);
        }
        HttpMethod method = server.effectOf(requestClass) == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!message.method().equals(method)) {
            return new Arrival(null, 405, keepAlive);
        }
        HttpHeaders headers = message.headers();
        int budgetMs = budget(headers.get(BUDGET));
        String id = headers.get(CALL_ID);
        if (id == null || id.isBlank() || budgetMs <= 0) {
            return new Arrival(null, 400, keepAlive);
        }
        HttpHeaders onward = headers.copy().remove(HttpHeaderNames.CONNECTION).remove("Keep-Alive")
                .remove("Proxy-Connection").remove(HttpHeaderNames.TE).remove(HttpHeaderNames.TRAILER)
                .remove(HttpHeaderNames.TRANSFER_ENCODING).remove(HttpHeaderNames.UPGRADE)
                .remove(HttpHeaderNames.EXPECT).remove(HttpHeaderNames.CONTENT_LENGTH);
        byte[] body = ByteBufUtil.getBytes(message.content());
        if (body.length > 0 || method.equals(HttpMethod.POST)) {
            onward.setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new Arrival(new ClientRequest(method, message.uri(), onward, body, requestClass,
                server.tenantOf(headers.get(CALLER)), "1".equals(headers.get(AGAIN)), clock.nowMs(), budgetMs),
                0, keepAlive);
    }

    /** The client's patience in whole milliseconds, or 0 where that is missing or malformed. */
    private static int budget(String text) {
        try {
            int budgetMs = text == null ? 0 : Integer.parseInt(text);
            return budgetMs <= MAX_BUDGET_MS ? budgetMs : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
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

    private boolean free() {
        return current == null && waiting.isEmpty();
    }

    /** Whether it may be closed where its descriptor is wanted. */
    boolean isSpare(double nowMs) {
        return free() && nowMs - freeSinceMs >= (mute ? MUTE_IS_SPARE_MS : IDLE_IS_SPARE_MS);
    }

    /** Whether nothing is to be expected of it any more. */
    boolean isUseless(double nowMs) {
        return free() && nowMs - freeSinceMs >= (mute ? LONGEST_MUTE_MS : LONGEST_IDLE_MS);
    }

    void close() {
        context.close();
    }

    /** Closes the connection if no request is at hand. */
    void closeIfIdle() {
        if (free()) {
            close();
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
