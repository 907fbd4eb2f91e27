package ivybank.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.fleet.Message;
import ivybank.fleet.MessageCodec;
import ivybank.supervision.EventLoopTasks;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Datagrams to and from the other sidecars, signed. What is not theirs is counted and said in a line now and then; it never
 * gets further. What can't be sent at once is dropped: the next one says more. Lives on one event loop.
 */
final class PeerSocket {

    /** Takes what has come. */
    interface Receiver {
        void received(int memberIndex, Message message);
    }

    /** Why a datagram was passed over. */
    enum Refusal {
        UNKNOWN_ADDRESS,
        TOO_LONG,
        UNSIGNED,
        OTHER_FLEET,
        OTHER_VERSION,
        MALFORMED
    }

    private static final int BUFFER = 256 * 1024;
    private static final double SAY_MS = 60_000;
    private static final int NO_KEY = -1;
    /** Between two tries to listen anew. */
    private static final double REOPEN_MS = 500;

    private final EventLoop loop;
    private final List<InetSocketAddress> addresses;
    private final Map<InetSocketAddress, Integer> seats = new HashMap<>();
    private final int fleet;
    private final Clock clock;
    private final Log log;
    private final int[] preferred; // mark of the key that each peer prefers, or -1
    private final int[] understood; // key by which each was last understood, or -1
    private final Map<Refusal, Long> refused = new EnumMap<>(Refusal.class);
    private final Map<Refusal, Double> saidMs = new EnumMap<>(Refusal.class);
    private PeerKeys keys;
    private InetSocketAddress address;
    private boolean addressShared;
    private double nextOpenMs;
    private Channel channel;
    private long dropped;
    private long sentBytes;
    private Receiver receiver;

    PeerSocket(EventLoop loop, List<InetSocketAddress> addresses, int fleet, PeerKeys keys, Clock clock, Log log) {
        this.loop = loop;
        this.addresses = List.copyOf(addresses);
        this.fleet = fleet;
        this.keys = keys;
        this.clock = clock;
        this.log = log;
        preferred = new int[addresses.size()];
        understood = new int[addresses.size()];
        Arrays.fill(preferred, NO_KEY);
        Arrays.fill(understood, NO_KEY);
        for (int i = 0; i < addresses.size(); i++) {
            seats.put(addresses.get(i), i);
        }
    }

    /**
     * Listens.
     *
     * @param shared whether another process of this sidecar has the address too: datagrams then come to the later one
     */
    void open(InetSocketAddress listen, boolean shared, Receiver to) throws IOException {
        receiver = to;
        address = listen;
        addressShared = shared;
        ChannelFuture bound = bind().awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen for peers on " + listen + ": "
                    + bound.cause().getMessage() + " (is another process of this name here?)");
        }
        channel = bound.channel();
    }

    private ChannelFuture bind() {
        return new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, BUFFER)
                .option(ChannelOption.SO_REUSEADDR, addressShared)
                // One more than is allowed, so that what is too long is seen to be.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MessageCodec.MAX_DATAGRAM_BYTES + 1))
                .handler(new Incoming())
                .bind(address);
    }

    /** Listens anew where the socket has ended by an error. On the event loop, again and again. */
    void reopenIfEnded(double nowMs) {
        if (channel.isOpen() || nowMs < nextOpenMs) {
            return;
        }
        nextOpenMs = nowMs + REOPEN_MS;
        log.line("peers: the socket has ended, and is opened anew");
        ChannelFuture bound = bind();
        bound.addListener(done -> {
            if (bound.isSuccess()) {
                EventLoopTasks.execute(loop, () -> channel = bound.channel());
            }
        });
    }

    /** Goes on with other keys. */
    void keys(PeerKeys next) {
        keys = next;
        Arrays.fill(understood, NO_KEY);
    }

    void send(int memberIndex, Message message) {
        if (!channel.isWritable()) {
            dropped++;
            return;
        }
        byte[] signed = keys.sign(
                MessageCodec.encode(message, fleet, keys.mark()),
                keys.choose(preferred[memberIndex], understood[memberIndex]));
        sentBytes += signed.length;
        channel.writeAndFlush(
                new DatagramPacket(Unpooled.wrappedBuffer(signed), addresses.get(memberIndex)), channel.voidPromise());
    }

    private void received(InetSocketAddress from, byte[] signed) {
        Integer memberIndex = seats.get(from);
        if (memberIndex == null) {
            refuse(Refusal.UNKNOWN_ADDRESS, from, "");
            return;
        }
        if (signed.length > MessageCodec.MAX_DATAGRAM_BYTES) {
            refuse(Refusal.TOO_LONG, from, "");
            return;
        }
        int key = keys.verify(signed);
        if (key < 0) {
            refuse(Refusal.UNSIGNED, from, "");
            return;
        }
        byte[] bytes = Arrays.copyOf(signed, signed.length - MessageCodec.SIGNATURE_BYTES);
        try {
            Message message = MessageCodec.decode(bytes);
            if (MessageCodec.fleetHashOf(bytes) != fleet) {
                refuse(Refusal.OTHER_FLEET, from, "");
                return;
            }
            preferred[memberIndex] = MessageCodec.preferredKeyOf(bytes);
            understood[memberIndex] = key;
            receiver.received(memberIndex, message);
        } catch (MessageCodec.MalformedException e) {
            refuse(e.otherVersion() ? Refusal.OTHER_VERSION : Refusal.MALFORMED, from, ", " + e.getMessage());
        }
    }

    private void refuse(Refusal why, InetSocketAddress from, String more) {
        long count = refused.merge(why, 1L, Long::sum);
        double nowMs = clock.nowMs();
        Double said = saidMs.get(why);
        if (said == null || nowMs - said >= SAY_MS) {
            saidMs.put(why, nowMs);
            log.line("peers: datagrams passed over as "
                    + why.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ') + ": " + count
                    + " so far, the last from " + from + more);
        }
    }

    Map<Refusal, Long> refused() {
        return Map.copyOf(refused);
    }

    /** Datagrams that could not be sent at once. */
    long dropped() {
        return dropped;
    }

    long sentBytes() {
        return sentBytes;
    }

    private final class Incoming extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            received(packet.sender(), ByteBufUtil.getBytes(packet.content()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A peer's machine says that nobody listens there: its silence says the same.
            if (!(cause instanceof IOException)) {
                log.line("peers: " + cause);
            }
        }
    }
}
