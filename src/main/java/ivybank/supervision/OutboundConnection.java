package ivybank.supervision;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;

/**
 * A connection from this process. Guards against what Netty leaves open where a channel can't even be made, for want of a
 * descriptor or of memory in the system: the future that tells its end is never completed then, and others are completed on a
 * thread that is not the event loop's. Here the end of each one that was begun is told once, on the event loop.
 */
public final class OutboundConnection {

    /** Told what becomes of a connection, on its event loop and never before {@link #open} has returned. */
    public interface Listener {

        /** It is up. */
        void up(Channel channel);

        /**
         * It has not come up, and nothing of it is left.
         *
         * @param local whether this machine is the reason, and not the other side
         */
        void failed(Throwable cause, boolean local);

        /** It was up and has ended. */
        void closed();
    }

    /** What became of it. */
    private enum State {
        OPENING,
        UP,
        OVER
    }

    private final Listener listener;
    private State state = State.OPENING;
    private Channel channel;

    private OutboundConnection(Listener listener) {
        this.listener = listener;
    }

    /** Begins to connect. On the event loop, which is the bootstrap's. */
    public static OutboundConnection open(
            Bootstrap bootstrap, EventLoop loop, SocketAddress address, Listener listener) {
        OutboundConnection connection = new OutboundConnection(listener);
        try {
            ChannelFuture connecting = bootstrap.connect(address);
            connection.channel = connecting.channel();
            connecting.addListener(done -> EventLoopTasks.execute(loop, () -> connection.settle(connecting)));
        } catch (RuntimeException | Error e) {
            EventLoopTasks.execute(loop, () -> connection.fail(e));
        }
        return connection;
    }

    private void settle(ChannelFuture connecting) {
        if (!connecting.isSuccess()) {
            fail(connecting.cause());
        } else if (state == State.OPENING) {
            state = State.UP;
            channel.closeFuture().addListener(closed -> end());
            listener.up(channel);
        }
    }

    private void fail(Throwable cause) {
        if (state == State.OPENING) {
            state = State.OVER;
            closeForcibly();
            listener.failed(cause, isLocal(cause));
        }
    }

    private void end() {
        if (state == State.UP) {
            state = State.OVER;
            listener.closed();
        }
    }

    /** Ends it, whatever it waits for: its end is told before this returns, unless it was told before. */
    public void abandon(String why) {
        if (state == State.OPENING) {
            fail(new ConnectException(why));
        } else if (state == State.UP) {
            closeForcibly();
            end();
        }
    }

    /** Whether its end has been told. */
    public boolean isClosed() {
        return state == State.OVER;
    }

    /** Whether it was up and its channel has ended, although that was not told. */
    public boolean hasClosedUnreported() {
        return state == State.UP && !channel.isOpen();
    }

    private void closeForcibly() {
        if (channel == null || !channel.isOpen()) { // one that was never made is not open
            return;
        }
        if (channel.isRegistered()) {
            channel.close();
        } else {
            channel.unsafe().closeForcibly();
        }
    }

    /** Refused, without an answer or without a route is the other side; no descriptor, port or network is this machine. */
    private static boolean isLocal(Throwable cause) {
        return !(cause instanceof ConnectException) && !(cause instanceof NoRouteToHostException);
    }
}
