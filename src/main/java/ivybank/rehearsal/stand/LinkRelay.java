package ivybank.rehearsal.stand;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import ivybank.rehearsal.scenario.Scenario.Quality;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Carries TCP links between sidecars as {@link PeerRelay} carries datagrams: an address for each ordered pair, and the same faults.
 * What TCP mends comes late instead of never: a lost part as late as it is sent again, a cut as late as it is healed. Bytes keep
 * their order; what is held back is bounded, for nothing more is read then. Lives on the kit's event loop.
 */
final class LinkRelay {

    private static final int MOST_HELD = 256 * 1024;
    private static final double SENT_AGAIN_MS = 200;

    /** One direction of one link. */
    private final class Flow extends ChannelInboundHandlerAdapter {
        private final int from;
        private final int to;
        private final Channel source;
        private final Deque<ByteBuf> held = new ArrayDeque<>();
        private final Deque<Double> dueMs = new ArrayDeque<>();
        private Channel sink; // null until it is connected
        private Flow back;
        private int heldBytes;
        private double freeAtMs;
        private boolean ended; // the source says nothing more

        private Flow(int from, int to, Channel source) {
            this.from = from;
            this.to = to;
            this.source = source;
            flows.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            Quality quality = faults.quality(from, to);
            double delayMs = quality.delayMs()[0]
                    + world.random() * (quality.delayMs()[1] - quality.delayMs()[0])
                    + (world.random() < quality.loss() ? SENT_AGAIN_MS : 0);
            if (quality.kbPerS() < Double.POSITIVE_INFINITY) {
                freeAtMs = Math.max(freeAtMs, world.nowMs()) + bytes.readableBytes() / quality.kbPerS();
                delayMs += freeAtMs - world.nowMs();
            }
            double lastMs = dueMs.isEmpty() ? 0 : dueMs.peekLast();
            held.add(bytes);
            dueMs.add(Math.max(lastMs, world.nowMs() + delayMs));
            heldBytes += bytes.readableBytes();
            source.config().setAutoRead(heldBytes < MOST_HELD);
            pump();
        }

        /** Passes on what is due, where the way is open. */
        private void pump() {
            while (sink != null && !held.isEmpty() && faults.open(from, to)) {
                double waitMs = dueMs.peekFirst() - world.nowMs();
                if (waitMs > 0) {
                    world.after(waitMs, this::pump);
                    return;
                }
                dueMs.pollFirst();
                ByteBuf next = held.pollFirst();
                heldBytes -= next.readableBytes();
                carried += next.readableBytes();
                sink.writeAndFlush(next, sink.voidPromise());
            }
            source.config().setAutoRead(heldBytes < MOST_HELD);
            if (ended && held.isEmpty() && faults.open(from, to)) {
                close();
            }
        }

        /** An end is carried like bytes: where the way is cut, the other side hears of it when that is healed. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended = true;
            pump();
        }

        private void close() {
            flows.remove(this);
            held.forEach(ReferenceCountUtil::release);
            held.clear();
            if (sink != null) {
                sink.close();
            } else if (back != null) {
                back.source.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final World world;
    private final WayFaults faults;
    private final List<InetSocketAddress> real;
    private final Channel[][] listeners; // [a][b]: the address by which a knows b
    private final Set<Flow> flows = new HashSet<>();
    private long carried;

    /** Listens for each ordered pair. Not called on the event loop. */
    LinkRelay(World world, List<InetSocketAddress> real, WayFaults faults) {
        this.world = world;
        this.faults = faults;
        this.real = List.copyOf(real);
        int count = real.size();
        listeners = new Channel[count][count];
        for (int a = 0; a < count; a++) {
            for (int b = 0; b < count; b++) {
                if (a != b) {
                    int from = a;
                    int to = b;
                    listeners[a][b] = Loopback.listen(
                            world.acceptor, world.loop, world.net, 221, 1 + a, channel -> accept(from, to, channel));
                }
            }
        }
        world.loop.execute(() -> faults.watch(() -> new ArrayList<>(flows).forEach(Flow::pump)));
    }

    private void accept(int from, int to, Channel inbound) {
        Flow there = new Flow(from, to, inbound);
        inbound.pipeline().addLast(there);
        connect(there);
    }

    /** Connects onward once the way is open both ways: where it is cut, a link hangs as long as that lasts. */
    private void connect(Flow there) {
        if (!there.source.isActive() && there.ended) {
            flows.remove(there);
            return;
        }
        if (!faults.open(there.from, there.to) || !faults.open(there.to, there.from)) {
            world.after(SENT_AGAIN_MS, () -> connect(there));
            return;
        }
        new Bootstrap()
                .group(world.loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRegistered(ChannelHandlerContext ctx) {
                        Flow back = new Flow(there.to, there.from, ctx.channel());
                        back.sink = there.source;
                        there.back = back;
                        ctx.pipeline().replace(this, "back", back);
                        ctx.fireChannelRegistered();
                    }
                })
                .connect(real.get(there.to))
                .addListener(up -> {
                    if (up.isSuccess()) {
                        there.sink = there.back.source;
                        there.pump();
                    } else {
                        flows.remove(there.back);
                        there.source.close();
                    }
                });
    }

    /** The address by which one sidecar knows another's links. */
    String address(int of, int by) {
        return Loopback.text(listeners[by][of]);
    }

    /** Bytes that were passed on so far. */
    long carried() {
        return carried;
    }

    void close() {
        for (Channel[] row : listeners) {
            for (Channel listener : row) {
                if (listener != null) {
                    listener.close();
                }
            }
        }
        world.loop.execute(() -> new ArrayList<>(flows).forEach(flow -> flow.source.close()));
    }
}
