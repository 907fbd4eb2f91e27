package ivybank.rehearsal.stand;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import ivybank.common.Addresses;
import ivybank.rehearsal.scenario.Scenario.Quality;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Carries datagrams between sidecars, and does to them what faults say. Each sidecar has a list of addresses of its own for the
 * others; what one sends to another comes from the sender's address in the receiver's list. Datagrams of more than 256 bytes
 * are dropped, as on the platform. Lives on the kit's event loop; what is on its way is bounded for each pair.
 */
final class PeerRelay {

    private static final int LONGEST = 256;
    private static final int MOST_UNDER_WAY = 512;
    private static final double OVERTAKEN_MS = 100;
    private static final double REPLAYED_MS = 2000;
    private static final int HEADER_LENGTH_AT = 3;
    private static final int COUNTER_AT = 16;
    private static final int STANDING_AT = 1; // in the sender's word
    private static final int TURN_AT = 11;
    private static final byte LEAVES = 3;

    /** The way from one sidecar to another. */
    private final class Way {
        private final int from;
        private final int to;
        private int underWay;
        private double freeAtMs; // when what was sent before is through, where it is throttled

        private Way(int from, int to) {
            this.from = from;
            this.to = to;
        }

        private void carry(byte[] bytes) {
            Quality quality = faults.quality(from, to);
            if (quality.cut() || random.nextDouble() < quality.loss()) {
                lost++;
                return;
            }
            harm(bytes, quality);
            for (int copies = random.nextDouble() < quality.doubled() ? 2 : 1; copies > 0; copies--) {
                double delayMs = quality.delayMs()[0]
                        + random.nextDouble() * (quality.delayMs()[1] - quality.delayMs()[0])
                        + (random.nextDouble() < quality.reordered() ? OVERTAKEN_MS * random.nextDouble() : 0);
                if (quality.kbPerS() < Double.POSITIVE_INFINITY) {
                    freeAtMs = Math.max(freeAtMs, world.nowMs()) + bytes.length / quality.kbPerS();
                    delayMs += freeAtMs - world.nowMs();
                }
                if (delayMs <= 0) {
                    deliver(bytes);
                } else if (underWay < MOST_UNDER_WAY) {
                    underWay++;
                    world.after(delayMs, () -> {
                        underWay--;
                        deliver(bytes);
                    });
                } else {
                    lost++;
                }
            }
        }

        private void harm(byte[] bytes, Quality quality) {
            if (random.nextDouble() < quality.forged()) {
                byte[] forgery = forgery(bytes);
                if (forgery != null) {
                    forged++;
                    deliver(forgery);
                }
            }
            if (random.nextDouble() < quality.replayed() && underWay < MOST_UNDER_WAY) {
                underWay++;
                world.after(REPLAYED_MS * (1 + random.nextDouble()), () -> {
                    underWay--;
                    deliver(bytes);
                });
            }
        }

        private void deliver(byte[] bytes) {
            carried++;
            octets += bytes.length;
            // From the address by which the receiver knows the sender.
            sockets[to][from].writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), real.get(to)));
        }
    }

    private final World world;
    private final SplittableRandom random;
    private final List<InetSocketAddress> real; // where each sidecar listens
    private final Channel[][] sockets; // [a][b]: the address by which a knows b
    private final Way[][] ways;
    private final WayFaults faults;
    private long carried;
    private long octets;
    private long lost;
    private long forged;

    /** Opens a socket for each ordered pair. Not called on the event loop. */
    PeerRelay(World world, List<InetSocketAddress> real, WayFaults faults, long seed) {
        this.faults = faults;
        this.world = world;
        this.real = List.copyOf(real);
        this.random = new SplittableRandom(seed);
        int count = real.size();
        sockets = new Channel[count][count];
        ways = new Way[count][count];
        for (int a = 0; a < count; a++) {
            for (int b = 0; b < count; b++) {
                ways[a][b] = new Way(a, b);
                if (a != b) {
                    Way way = ways[a][b];
                    sockets[a][b] = new Bootstrap()
                            .group(world.loop)
                            .channel(NioDatagramChannel.class)
                            .option(ChannelOption.SO_RCVBUF, 1 << 18)
                            .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                                @Override
                                protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                                    come(way, packet);
                                }

                                @Override
                                public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                    // Nobody listens there now: the datagram is lost, as on a network.
                                }
                            })
                            .bind(new InetSocketAddress("127." + world.net + ".220." + (1 + a), 0))
                            .syncUninterruptibly()
                            .channel();
                }
            }
        }
    }

    /**
     * The datagram as one would change it who has no key: the sender's own word, which follows the header, says that it leaves, in a
     * later turn and under a later counter (docs/design/fleet-view.md has the layout). Null where it isn't of that layout.
     */
    private static byte[] forgery(byte[] bytes) {
        int word = bytes.length > HEADER_LENGTH_AT ? bytes[HEADER_LENGTH_AT] & 0xff : 0;
        if (word < COUNTER_AT + 4 || word + TURN_AT + 1 >= bytes.length) {
            return null;
        }
        byte[] forgery = bytes.clone();
        forgery[COUNTER_AT + 2]++; // 256 later
        forgery[word + STANDING_AT] = LEAVES;
        forgery[word + TURN_AT]++;
        return forgery;
    }

    private void come(Way way, DatagramPacket packet) {
        ByteBuf content = packet.content();
        if (!packet.sender().equals(real.get(way.from)) || content.readableBytes() > LONGEST) {
            lost++;
            return;
        }
        way.carry(ByteBufUtil.getBytes(content));
    }

    /** The address by which one sidecar knows another. */
    String address(int of, int by) {
        return Addresses.text(of == by ? real.get(of) : (InetSocketAddress) sockets[by][of].localAddress());
    }

    /** Datagrams that were delivered so far, their bytes, those that were not, and forgeries. */
    long[] counts() {
        return new long[] {carried, octets, lost, forged};
    }

    void close() {
        for (Channel[] row : sockets) {
            for (Channel socket : row) {
                if (socket != null) {
                    socket.close();
                }
            }
        }
    }
}
