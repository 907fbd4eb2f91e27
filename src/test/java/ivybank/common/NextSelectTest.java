package ivybank.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class NextSelectTest {

    /** The pass in which it is asked for is held up until far more than a millisecond is over: what came meanwhile is read first. */
    @Test
    void whatHasComeInAPassThatIsHeldUpIsReadBeforeTheTaskRuns() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<String> order = new CopyOnWriteArrayList<>();
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch ran = new CountDownLatch(1);
        try {
            Channel listener = new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                                @Override
                                protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes)
                                        throws InterruptedException {
                                    order.add("read");
                                    if (held.getCount() > 0) {
                                        NextSelect.runAfter(ctx.executor(), () -> {
                                            order.add("ran");
                                            ran.countDown();
                                        });
                                        held.countDown();
                                        go.await();
                                    }
                                }
                            });
                        }
                    })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .syncUninterruptibly()
                    .channel();
            int port = ((InetSocketAddress) listener.localAddress()).getPort();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.getOutputStream().write(1);
                held.await();
                socket.getOutputStream().write(2);
                Thread.sleep(50); // what falls due in a millisecond is overdue when the pass goes on
                go.countDown();
                assertTrue(ran.await(10, TimeUnit.SECONDS));
                assertEquals(List.of("read", "read", "ran"), order);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
