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
 * Where operators call: HTTP/1.1, one call for each connection, on a thread of its own, so that a busy event loop delays
 * no call that needs nothing of it. An order is put on file, obeyed, and only then answered with a yes. What
 * another process of this sidecar has put on file is obeyed as well. Guards against callers that never finish: they are
 * closed after a while, the oldest at once where there are many.
 */
public final class AdminEndpoint {

    private static final int LONGEST_CALL = 4096;
    private static final int MOST_CALLERS = 12;
    private static final long LONGEST_CALL_MS = 5000;
    private static final long LOOK_MS = 50;
    private static final int LONGEST_ID = 256;

    private final AdminTarget sidecar;
    private final Clock clock;
    private final Log log;
    private final Path folder; // null where nothing lasts
    private MaintenanceFile file;
    private SiblingProcesses company; // null until it has been joined
    private boolean inCompany;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Deque<Channel> callers = new ArrayDeque<>();
    /** The orders on file, and the same with the times at which this process saw them. */
    private MaintenanceState orders = MaintenanceState.NONE;

    private MaintenanceState seen = MaintenanceState.NONE;
    private boolean unreadable;

    /**
     * @param folder where the processes of this sidecar leave word for each other; null where there is no such place
     * @param company where this process has joined the others already; null to do so
     */
    public AdminEndpoint(AdminTarget sidecar, Path folder, SiblingProcesses company, Clock clock, Log log) {
        this.company = company;
        this.sidecar = sidecar;
        this.clock = clock;
        this.log = log;
        this.folder = folder;
        this.file = folder == null ? null : new MaintenanceFile(folder);
    }

    /** Obeys what is on file and opens; returns the address that it has. */
    public InetSocketAddress open(InetSocketAddress address) throws IOException {
        group.next().submit(this::look).syncUninterruptibly();
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        admit(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(LONGEST_CALL), new Call());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully();
            throw new IOException("cannot listen for operators on " + address + ": "
                    + bound.cause().getMessage());
        }
        PeriodicTask.start("look at the orders", group.next(), clock, log, LOOK_MS, this::look);
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private void admit(Channel caller) {
        if (callers.size() >= MOST_CALLERS) {
            callers.pollFirst().close();
        }
        callers.addLast(caller);
        caller.closeFuture().addListener(closed -> callers.remove(caller));
        caller.eventLoop().schedule(() -> caller.close(), LONGEST_CALL_MS, TimeUnit.MILLISECONDS);
    }

    /** Obeys what another process has put on file. */
    private void look() {
        if (file == null) {
            return;
        }
        try {
            company = company == null ? SiblingProcesses.join(folder) : company;
            if (company.others() != inCompany) {
                inCompany = !inCompany;
                log.line(
                        inCompany
                                ? "another process of this sidecar is here"
                                : "no other process of this sidecar is here any more");
                sidecar.company(inCompany);
            }
            hold(file.read());
            unreadable = false;
        } catch (IOException | RuntimeException e) {
            if (!unreadable) {
                log.line("orders: going on as before: " + e);
            }
            unreadable = true;
        }
    }

    private CompletionStage<Void> hold(MaintenanceState next) {
        if (next.equals(orders)) {
            return CompletableFuture.completedFuture(null);
        }
        MaintenanceState here = next.asSeen(orders, seen, clock.nowMs());
        log.line("orders: out " + next.out().keySet() + (next.standsBy() ? ", standing by" : ", taking clients"));
        orders = next;
        seen = here;
        return sidecar.obey(here);
    }

    /** An order: on file, obeyed, and then a yes. */
    private CompletionStage<Reply> order(UnaryOperator<MaintenanceState> change) {
        MaintenanceState next;
        try {
            // Under the file's lock and from what is there: another process may have been called meanwhile.
            next = file == null ? change.apply(orders) : file.change(change);
        } catch (IOException e) {
            log.line("orders: no longer on file, the next process won't know them: " + e);
            file = null;
            next = change.apply(orders);
        }
        return hold(next).thenApply(done -> Reply.YES);
    }

    private CompletionStage<Reply> maintenance(FullHttpRequest call, boolean out) {
        JsonNode body;
        try {
            body = Json.MAPPER.readTree(ByteBufUtil.getBytes(call.content()));
        } catch (IOException e) {
            return no(HttpResponseStatus.BAD_REQUEST, "the body is not JSON");
        }
        String node = body.path("host").isTextual() ? body.get("host").asText() : "";
        if (node.isEmpty() || node.length() > LONGEST_ID) {
            return no(HttpResponseStatus.BAD_REQUEST, "the body names no host");
        }
        return sidecar.knows(node)
                .thenComposeAsync(
                        known -> {
                            if (!known && !orders.isOut(node)) {
                                return no(HttpResponseStatus.NOT_FOUND, "there is no " + node);
                            }
                            if (out && !orders.isOut(node) && orders.out().size() >= MaintenanceState.MOST_OUT) {
                                return no(HttpResponseStatus.CONFLICT, "too many are out");
                            }
                            double nowMs = clock.nowMs();
                            return order(out ? now -> now.takeOut(node, nowMs) : now -> now.callBack(node));
                        },
                        group.next());
    }

    private CompletionStage<Reply> answer(FullHttpRequest call) {
        if (call.decoderResult().isFailure()) {
            return no(HttpResponseStatus.BAD_REQUEST, "can't be read");
        }
        String path = call.uri().split("\\?", 2)[0];
        HttpMethod method = path.equals("/status") || path.equals("/fleet") ? HttpMethod.GET : HttpMethod.PUT;
        CompletionStage<Reply> wrongMethod =
                call.method().equals(method) ? null : no(HttpResponseStatus.METHOD_NOT_ALLOWED, "ask with " + method);
        double nowMs = clock.nowMs();
        return switch (path) {
            case "/status" ->
                wrongMethod != null
                        ? wrongMethod
                        : sidecar.serves()
                                ? CompletableFuture.completedFuture(Reply.YES)
                                : no(HttpResponseStatus.SERVICE_UNAVAILABLE, "not yet");
            case "/fleet" -> wrongMethod != null ? wrongMethod : fleet();
            case "/maintenance/enter", "/maintenance/exit" ->
                wrongMethod != null ? wrongMethod : maintenance(call, path.endsWith("enter"));
            case "/standby" -> wrongMethod != null ? wrongMethod : order(now -> now.standBy(nowMs));
            case "/active" -> wrongMethod != null ? wrongMethod : order(MaintenanceState::activate);
            default -> no(HttpResponseStatus.NOT_FOUND, "no such call");
        };
    }

    private CompletionStage<Reply> fleet() {
        CompletionStage<String> view = sidecar.fleet();
        return view == null
                ? no(HttpResponseStatus.NOT_FOUND, "this sidecar has no [peers] in its operator file")
                : view.thenApply(json -> new Reply(HttpResponseStatus.OK, json));
    }

    private static CompletionStage<Reply> no(HttpResponseStatus status, String why) {
        return CompletableFuture.completedFuture(new Reply(status, why));
    }

    private record Reply(HttpResponseStatus status, String text) {
        private static final Reply YES = new Reply(HttpResponseStatus.OK, "yes");
    }

    /** One call. */
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
