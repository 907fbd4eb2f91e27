package ivybank.rehearsal.latency;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import ivybank.rehearsal.latency.NodeFaults.Answer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Stand-in nodes that answer at once with the id of the request, all on one event loop of their own. They read requests
 * without a body alone, and allocate next to nothing, so that collections in this process don't disturb the generator.
 */
public final class EchoNodes implements AutoCloseable {

    private static final int BACKLOG = 512;
    private static final int MOST_REQUEST_BYTES = 8192;
    /** Between the two pieces of a second answer. */
    private static final long PIECES_MS = 1;

    private static final byte[] HEAD_END = ascii("\r\n\r\n");
    private static final byte[] ID_HEADER = ascii("x-call-id: ");
    private static final byte[] ANSWER_HEAD =
            ascii("HTTP/1.1 200 OK\r\nX-Load-Report: TEXT qps=10.00, util=0.100, eps=0\r\n" + "Content-Length: "
                    + RequestTemplate.ID_BYTES + "\r\n\r\n");
    private static final byte[] NO_ID = ascii("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    private static final byte[] SPOILT = ascii("no response at all\r\n\r\n");

    private final EventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    /** On which all nodes live. */
    final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final NodeFaults faults;
    private final LongAdder secondAnswers = new LongAdder();
    private final LongAdder lateSecondAnswers = new LongAdder();
    private volatile int hanging = -1;

    /** Starts listening at addresses, whose ports may be left to the system. */
    public EchoNodes(List<InetSocketAddress> wanted, NodeFaults faults) {
        this.faults = faults;
        for (InetSocketAddress address : wanted) {
            addresses.add(listen(address, addresses.size()));
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private InetSocketAddress listen(InetSocketAddress address, int number) {
        Channel listener = new ServerBootstrap()
                .group(acceptor, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Node(number));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Where each node listens. */
    public List<InetSocketAddress> addresses() {
        return List.copyOf(addresses);
    }

    /** Second answers that were begun. */
    public long secondAnswers() {
        return secondAnswers.sum();
    }

    /** Second answers that were left out, since the nodes' event loop was too late for them. */
    public long lateSecondAnswers() {
        return lateSecondAnswers.sum();
    }

    /** From now on the node of this number takes requests and answers none. */
    public void hang(int number) {
        hanging = number;
    }

    @Override
    public void close() {
        for (EventLoopGroup group : List.of(acceptor, loop)) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    /** One connection to a node. */
    private final class Node extends ByteToMessageDecoder {

        private final int number;

        Node(int number) {
            this.number = number;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            int headEnd = indexOf(in, HEAD_END, in.writerIndex());
            if (headEnd < 0) {
                if (in.readableBytes() > MOST_REQUEST_BYTES) {
                    ctx.close();
                }
                return;
            }
            if (number != hanging) {
                answer(ctx, in, indexOf(in, ID_HEADER, headEnd));
            }
            in.readerIndex(headEnd + HEAD_END.length);
        }

        private void answer(ChannelHandlerContext ctx, ByteBuf in, int idHeader) {
            if (idHeader < 0) {
                write(ctx, NO_ID);
                return;
            }
            int idStart = idHeader + ID_HEADER.length;
            boolean isDirect = RequestTemplate.isOf(Route.DIRECT, in.getByte(idStart));
            Answer answer = isDirect ? Answer.GOOD : faults.next();
            if (answer == Answer.SPOILT) {
                write(ctx, SPOILT);
                return;
            }
            ByteBuf good = ctx.alloc().directBuffer(2 * (ANSWER_HEAD.length + RequestTemplate.ID_BYTES));
            good.writeBytes(ANSWER_HEAD).writeBytes(in, idStart, RequestTemplate.ID_BYTES);
            if (answer == Answer.TWICE) {
                answerTwice(ctx, good);
            } else {
                ctx.writeAndFlush(good, ctx.voidPromise());
            }
        }

        /** At once in the same segment, or later, whole or in two pieces. */
        private void answerTwice(ChannelHandlerContext ctx, ByteBuf good) {
            int afterMs = faults.secondAfterMs();
            ByteBuf second = good.copy();
            if (afterMs == 0) {
                secondAnswers.increment();
                ctx.writeAndFlush(good.writeBytes(second), ctx.voidPromise());
                second.release();
                return;
            }
            ctx.writeAndFlush(good, ctx.voidPromise());
            long latestNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(NodeFaults.LATEST_SECOND_MS);
            ctx.executor().schedule(() -> writeSecond(ctx, second, latestNs), afterMs, TimeUnit.MILLISECONDS);
        }

        private void writeSecond(ChannelHandlerContext ctx, ByteBuf second, long latestNs) {
            if (System.nanoTime() > latestNs) {
                lateSecondAnswers.increment();
                second.release();
                return;
            }
            secondAnswers.increment();
            if (faults.isCut()) {
                ctx.writeAndFlush(second.readRetainedSlice(second.readableBytes() / 2));
                ctx.executor().schedule(() -> ctx.writeAndFlush(second), PIECES_MS, TimeUnit.MILLISECONDS);
            } else {
                ctx.writeAndFlush(second);
            }
        }

        private void write(ChannelHandlerContext ctx, byte[] bytes) {
            ctx.writeAndFlush(ctx.alloc().directBuffer(bytes.length).writeBytes(bytes), ctx.voidPromise());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Where these lower-case bytes begin between the reader index and {@code until}, whatever the case; -1 if nowhere. */
    private static int indexOf(ByteBuf in, byte[] wanted, int until) {
        for (int from = in.readerIndex(); from + wanted.length <= until; from++) {
            int matched = 0;
            while (matched < wanted.length && Character.toLowerCase(in.getByte(from + matched)) == wanted[matched]) {
                matched++;
            }
            if (matched == wanted.length) {
                return from;
            }
        }
        return -1;
    }
}
