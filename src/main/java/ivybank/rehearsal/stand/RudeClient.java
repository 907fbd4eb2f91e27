package ivybank.rehearsal.stand;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * A client that sends what can't be used, once, on a connection of its own. It is owed an error or a close in time, and never
 * an answer as if it had asked well.
 */
final class RudeClient extends ChannelInboundHandlerAdapter {

    private static final double OWED_MS = 3000;
    private static final double MARGIN_MS = 100;
    private static final String GOOD_HEAD = "Host: x\r\nX-Call-Id: rude\r\nX-Budget-Ms: 1000\r\n";

    /** What it sends; %s stands for the path of a class that is safe to repeat. */
    private static final List<String> WORDS = List.of(
            "",
            "\u0016\u0003\u0001\u0002 no words\r\n\r\n",
            "GET %s HTTP/1.1\r\nHost",
            "GET %s HTTP/1.1\r\nHost: x\r\nX-Budget-Ms: 1000\r\n\r\n",
            "GET %s HTTP/1.1\r\nHost: x\r\nX-Call-Id: rude\r\nX-Budget-Ms: soon\r\n\r\n",
            "GET /no-such-class HTTP/1.1\r\n" + GOOD_HEAD + "\r\n",
            "POST %s HTTP/1.1\r\n" + GOOD_HEAD + "Content-Length: -5\r\n\r\n",
            "POST %s HTTP/1.1\r\n" + GOOD_HEAD + "Content-Length: 3000000000\r\n\r\nx",
            "POST %s HTTP/1.1\r\n" + GOOD_HEAD
                    + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET %s HTTP/1.1" + "\r\n"
                    + GOOD_HEAD + "\r\n");

    private final World world;
    private final int sidecar;
    private final String words;
    private final DoubleSupplier stoppedMs;
    private boolean over;

    private RudeClient(World world, int sidecar, String words, DoubleSupplier stoppedMs) {
        this.world = world;
        this.sidecar = sidecar;
        this.words = words;
        this.stoppedMs = stoppedMs;
    }

    /**
     * One of them comes; what it sends goes by its number.
     *
     * @param number how many came before it on this day
     * @param stoppedMs supplies for how long the sidecar has been stopped by signals so far, in milliseconds
     */
    static void come(World world, int sidecar, InetSocketAddress address, int number, DoubleSupplier stoppedMs) {
        String path = "/" + world.scenario.classes().get(0).name();
        RudeClient client =
                new RudeClient(world, sidecar, WORDS.get(number % WORDS.size()).replace("%s", path), stoppedMs);
        new Bootstrap()
                .group(world.loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(client);
                    }
                })
                .connect(address);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(words, StandardCharsets.ISO_8859_1));
        expectEnd(ctx, OWED_MS + MARGIN_MS);
    }

    /** Expects the end within this time, in milliseconds; the time for which the sidecar is stopped meanwhile is added. */
    private void expectEnd(ChannelHandlerContext ctx, double withinMs) {
        double stoppedBeforeMs = stoppedMs.getAsDouble();
        world.after(withinMs, () -> {
            double stoppedMeanwhileMs = stoppedMs.getAsDouble() - stoppedBeforeMs;
            if (over) {
                return;
            }
            if (stoppedMeanwhileMs > 0) {
                expectEnd(ctx, stoppedMeanwhileMs);
                return;
            }
            over = true;
            world.referee.rude(sidecar, words, 0, world.nowMs());
            ctx.close();
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            String text = ((ByteBuf) message).toString(StandardCharsets.ISO_8859_1);
            if (!over && text.startsWith("HTTP/1.1 ") && text.length() >= 12) {
                over = true;
                world.referee.rude(sidecar, words, Integer.parseInt(text.substring(9, 12)), world.nowMs());
            }
            ctx.close();
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        over = true; // a close is what it is owed
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        over = true;
        ctx.close();
    }
}
