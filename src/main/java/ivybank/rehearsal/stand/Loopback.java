package ivybank.rehearsal.stand;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import ivybank.common.Addresses;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.function.Consumer;

/** Listeners on addresses of this machine alone, at ports that the system chooses: kits don't meet each other. */
final class Loopback {

    private static final int BACKLOG = 512;

    private Loopback() {}

    /** Listens at a port of 127.{@code net}.{@code a}.{@code b} that the system chooses; see the other one. */
    static Channel listen(EventLoopGroup acceptor, EventLoop loop, int net, int a, int b, Consumer<Channel> accepted) {
        return listen(acceptor, loop, new InetSocketAddress("127." + net + "." + a + "." + b, 0), accepted);
    }

    /** Listens at an address. Waits until it does, so that {@code acceptor} must be another thread than the caller's. */
    static Channel listen(
            EventLoopGroup acceptor, EventLoop loop, InetSocketAddress address, Consumer<Channel> accepted) {
        return new ServerBootstrap()
                .group(acceptor, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.accept(channel);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** A port of 127.{@code net}.210.x that is free now: a sidecar must know its own before it starts. */
    static InetSocketAddress forSidecar(int net, int number) throws IOException {
        return freePort(net, 210, number);
    }

    /** The same of 127.{@code net}.212.x for a sidecar's door. */
    static InetSocketAddress forDoor(int net, int number) throws IOException {
        return freePort(net, 212, number);
    }

    private static InetSocketAddress freePort(int net, int part, int number) throws IOException {
        try (ServerSocket socket =
                new ServerSocket(0, 1, InetAddress.getByName("127." + net + "." + part + "." + (1 + number)))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /** The same of 127.{@code net}.211.x for a sidecar's datagrams. */
    static InetSocketAddress forPeers(int net, int number) throws IOException {
        try (DatagramSocket socket =
                new DatagramSocket(0, InetAddress.getByName("127." + net + ".211." + (1 + number)))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    static String text(Channel listener) {
        return Addresses.text((InetSocketAddress) listener.localAddress());
    }
}
