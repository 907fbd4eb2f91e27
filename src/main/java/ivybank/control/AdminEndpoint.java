package ivybank.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import ivybank.common.Clock;
import ivybank.common.Json;
import ivybank.common.Log;
import ivybank.operations.MaintenanceState;
import ivybank.supervision.PeriodicTask;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The admin endpoint for operators: HTTP/1.1 with one call per connection, on a thread of its own, so that a busy event
 * loop delays no call that does not need it. An order is written to file and applied before it is confirmed. Orders
 * that another process of this sidecar has written are applied as well. Guards against callers that never finish: they
 * are disconnected after a timeout, and the oldest at once where there are too many.
 */
public final class AdminEndpoint {

    private static final int MAX_CALL_BYTES = 4096;
    private static final int MAX_CALLERS = 12;
    private static final long CALL_TIMEOUT_MS = 5000;
    private static final long POLL_INTERVAL_MS = 50;
    private static final int MAX_NODE_ID_LENGTH = 256;

    private final AdminTarget sidecar;
    private final Clock clock;
    private final Log log;
    private final Path folder; // null: the maintenance state ends with the process
    private MaintenanceFile file;
    private SiblingProcesses siblings; // null until this process has registered
    private boolean siblingPresent;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Deque<Channel> callers = new ArrayDeque<>();
    /** The state on file, and the same state with the times of this process's clock. */
    private MaintenanceState stateOnFile = MaintenanceState.NONE;

    private MaintenanceState observedState = MaintenanceState.NONE;
    private boolean pollFailing;

    /**
     * Creates the endpoint; it does not listen yet.
     *
     * @param folder the folder shared by the processes of this sidecar; null where there is none: the maintenance state
     * then ends with the process
     * @param siblings the other processes, if this process has registered with them already; null to register here
     */
    public AdminEndpoint(AdminTarget sidecar, Path folder, SiblingProcesses siblings, Clock clock, Log log) {
        this.siblings = siblings;
        this.sidecar = sidecar;
        this.clock = clock;
        this.log = log;
        this.folder = folder;
        this.file = folder == null ? null : new MaintenanceFile(folder);
    }

    /** Applies the state on file, listens, and returns the bound address. */
    public InetSocketAddress open(InetSocketAddress address) throws IOException {
        group.next().submit(this::poll).syncUninterruptibly();
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        register(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_CALL_BYTES), new Call());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully();
            throw new IOException("cannot listen for operators on " + address + ": "
                    + bound.cause().getMessage());
        }
        PeriodicTask.start("poll of the maintenance state", group.next(), clock, log, POLL_INTERVAL_MS, this::poll);
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private void register(Channel caller) {
        if (callers.size() >= MAX_CALLERS) {
            callers.pollFirst().close();
        }
        callers.addLast(caller);
        caller.closeFuture().addListener(closed -> callers.remove(caller));
        caller.eventLoop().schedule(() -> caller.close(), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Checks for other processes, and applies the state that another process has written. */
    private void poll() {
        if (file == null) {
            return;
        }
        try {
            siblings = siblings == null ? SiblingProcesses.join(folder) : siblings;
            if (siblings.hasOthers() != siblingPresent) {
                siblingPresent = !siblingPresent;
                log.line(
                        siblingPresent
                                ? "another process of this sidecar is here"
                                : "no other process of this sidecar is here any more");
                sidecar.siblingPresent(siblingPresent);
            }
            apply(file.read());
            pollFailing = false;
        } catch (IOException | RuntimeException e) {
            if (!pollFailing) {
                log.line("admin: the maintenance state cannot be read, keeping the current one: " + e);
            }
            pollFailing = true;
        }
    }

    private CompletionStage<Void> apply(MaintenanceState next) {
        if (next.equals(stateOnFile)) {
            return CompletableFuture.completedFuture(null);
        }
        MaintenanceState here = next.withObservedTimes(stateOnFile, observedState, clock.nowMs(), clock.monotonicMs());
        log.line("admin: in maintenance: " + next.nodesInMaintenance().keySet()
                + (next.isOnStandby() ? ", on standby" : ", accepting clients"));
        stateOnFile = next;
        observedState = here;
        return sidecar.applyMaintenance(here);
    }

    /** Writes a change to file, applies it, and then confirms it. */
    private CompletionStage<Reply> change(UnaryOperator<MaintenanceState> change) {
        MaintenanceState next;
        try {
            // Starts from the state on file, under its lock: another process may have changed it meanwhile.
            next = file == null ? change.apply(stateOnFile) : file.change(change);
        } catch (IOException e) {
            log.line("admin: the maintenance state cannot be written and ends with this process: " + e);
            file = null;
            next = change.apply(stateOnFile);
        }
        return apply(next).thenApply(done -> Reply.YES);
    }

    private CompletionStage<Reply> maintenance(FullHttpRequest call, boolean out) {
        JsonNode body;
        try {
            body = Json.MAPPER.readTree(ByteBufUtil.getBytes(call.content()));
        } catch (IOException e) {
            return rejection(HttpResponseStatus.BAD_REQUEST, "the body is not JSON");
        }
        String node = body.path("host").isTextual() ? body.get("host").asText() : "";
        if (node.isEmpty() || node.length() > MAX_NODE_ID_LENGTH) {
            return rejection(HttpResponseStatus.BAD_REQUEST, "the body names no host");
        }
        return sidecar.isKnownNode(node)
                .thenComposeAsync(
                        known -> {
                            if (!known && !stateOnFile.isInMaintenance(node)) {
                                return rejection(HttpResponseStatus.NOT_FOUND, "there is no " + node);
                            }
                            if (out
                                    && !stateOnFile.isInMaintenance(node)
                                    && stateOnFile.nodesInMaintenance().size()
                                            >= MaintenanceState.MAX_NODES_IN_MAINTENANCE) {
                                return rejection(HttpResponseStatus.CONFLICT, "too many are out");
                            }
                            double nowMs = clock.nowMs();
                            return change(
                                    out ? now -> now.enterMaintenance(node, nowMs) : now -> now.exitMaintenance(node));
                        },
                        group.next());
    }

    private CompletionStage<Reply> answer(FullHttpRequest call) {
        if (call.decoderResult().isFailure()) {
            return rejection(HttpResponseStatus.BAD_REQUEST, "can't be read");
        }
        String path = call.uri().split("\\?", 2)[0];
        HttpMethod method = path.equals("/status") || path.equals("/fleet") ? HttpMethod.GET : HttpMethod.PUT;
        CompletionStage<Reply> wrongMethod = call.method().equals(method)
                ? null
                : rejection(HttpResponseStatus.METHOD_NOT_ALLOWED, "ask with " + method);
        double nowMs = clock.nowMs();
        double monotonicMs = clock.monotonicMs();
        return switch (path) {
            case "/status" ->
                wrongMethod != null
                        ? wrongMethod
                        : sidecar.isServing()
                                ? CompletableFuture.completedFuture(Reply.YES)
                                : rejection(HttpResponseStatus.SERVICE_UNAVAILABLE, "not yet");
            case "/fleet" -> wrongMethod != null ? wrongMethod : fleet();
            case "/maintenance/enter", "/maintenance/exit" ->
                wrongMethod != null ? wrongMethod : maintenance(call, path.endsWith("enter"));
            case "/standby" -> wrongMethod != null ? wrongMethod : change(now -> now.enterStandby(nowMs, monotonicMs));
            case "/active" -> wrongMethod != null ? wrongMethod : change(MaintenanceState::exitStandby);
            default -> rejection(HttpResponseStatus.NOT_FOUND, "no such call");
        };
    }

    private CompletionStage<Reply> fleet() {
        CompletionStage<String> view = sidecar.fleetView();
        return view == null
                ? rejection(HttpResponseStatus.NOT_FOUND, "this sidecar has no [peers] in its operator file")
                : view.thenApply(json -> new Reply(HttpResponseStatus.OK, json));
    }

    private static CompletionStage<Reply> rejection(HttpResponseStatus status, String why) {
        return CompletableFuture.completedFuture(new Reply(status, why));
    }

    private record Reply(HttpResponseStatus status, String text) {
        private static final Reply YES = new Reply(HttpResponseStatus.OK, "yes");
    }

    /** Handles one call. */
    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            answer(call)
                    .whenComplete((reply, failure) -> write(
                            ctx,
                            failure == null
                                    ? reply
                                    : new Reply(HttpResponseStatus.INTERNAL_SERVER_ERROR, failure.toString())));
        }

        private void write(ChannelHandlerContext ctx, Reply reply) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    reply.status(),
                    Unpooled.copiedBuffer(reply.text() + "\n", StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
