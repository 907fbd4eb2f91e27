package ivybank.supervision;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;

/**
 * A connection opened by this process, whose end is reported exactly once, on the event loop. Netty does not guarantee that
 * if a channel can't even be created for lack of a descriptor or of memory: its close future is never completed then, and
 * other futures are completed on a thread other than the event loop's.
 */
public final class OutboundConnection {

    /** Receives the events of a connection, on its event loop and never before {@link #open} has returned. */
    public interface Listener {

        /** Notifies that the connection is established. */
        void up(Channel channel);

        /**
         * Notifies that the connection could not be established; its resources are released.
         *
         * @param local whether this machine is the cause, and not the other side
         */
        void failed(Throwable cause, boolean local);

        /** Notifies that an established connection has closed. */
        void closed();
    }

    /** The state of the connection. */
    private enum State {
        OPENING,
        UP,
        CLOSED
    }

    private final Listener listener;
    private State state = State.OPENING;
    private Channel channel;

    private OutboundConnection(Listener listener) {
        this.listener = listener;
    }

    /** Starts to connect. Must be called on the event loop, which must be the bootstrap's. */
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
            state = State.CLOSED;
            closeForcibly();
            listener.failed(cause, isLocal(cause));
        }
    }

    private void end() {
        if (state == State.UP) {
            state = State.CLOSED;
            listener.closed();
        }
    }

    /** Closes the connection in any state; its end is reported before this returns, unless it was reported before. */
    public void abandon(String why) {
        if (state == State.OPENING) {
            fail(new ConnectException(why));
        } else if (state == State.UP) {
            closeForcibly();
            end();
        }
    }

    /** Returns whether the connection's end has been reported. */
    public boolean isClosed() {
        return state == State.CLOSED;
    }

    /** Returns whether the connection was established and its channel has closed without a report. */
    public boolean hasClosedUnreported() {
        return state == State.UP && !channel.isOpen();
    }

    private void closeForcibly() {
        if (channel == null || !channel.isOpen()) { // a channel that was never created is not open
            return;
        }
        if (channel.isRegistered()) {
            channel.close();
        } else {
            channel.unsafe().closeForcibly();
        }
    }

    /**
     * Returns whether this machine is the cause. Connection refused, timed out or no route is attributed to the other side;
     * lack of a descriptor, port or network to this machine.
     */
    private static boolean isLocal(Throwable cause) {
        return !(cause instanceof ConnectException) && !(cause instanceof NoRouteToHostException);
    }
}
