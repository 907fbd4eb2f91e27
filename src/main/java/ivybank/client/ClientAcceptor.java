package ivybank.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.common.NextSelect;
import java.net.SocketAddress;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Accepts client connections. It owns the listening channel and decides when it accepts. Failed accepts are retried after a
 * delay, a listener that has closed unexpectedly is reopened, and a listener for which the selector reports nothing is
 * polled. Used on one event loop.
 */
final class ClientAcceptor {

    /** The state of the acceptor. */
    private enum State {
        STARTING,
        ACCEPTING,
        /** The maximum number of connections is open. */
        FULL,
        /** An accept has just failed. */
        PAUSING,
        /** The listening channel closed unexpectedly and is not open again yet. */
        REOPENING,
        STOPPED
    }

    private static final int MAX_ACCEPTS_PER_PASS = 16;
    /** The delay after a failed accept; without it the selector reports the waiting connection again and again. */
    private static final double FAILURE_DELAY_MS = 10;
    /** The time after which connections that had to wait in the backlog have been accepted. */
    private static final double BACKLOG_DELAY_WINDOW_MS = 500;
    /** The interval between polls of the backlog, and their maximum number, before the listener closes. */
    private static final long DRAIN_INTERVAL_MS = 2;

    private static final int MAX_DRAIN_PASSES = 1000;
    /** Repeated failures are logged once in this many times. */
    private static final long FAILURES_PER_LOG_LINE = 100;

    private final Clock clock;
    private final Log log;
    /** Supplies the number of further connections that may be accepted. */
    private final IntSupplier freeCapacity;
    /** Closes an unused connection, if there is one, to make room for another. */
    private final Runnable evictOne;

    private ServerBootstrap bootstrap;
    private SocketAddress address;
    private EventLoop loop;
    private Channel listener;
    private State state = State.STARTING;
    /** Whether the listening socket is also open in other processes. */
    private boolean shared;

    private double pausedUntilMs;
    /** The time at which accepting was last suspended, because the limit was reached or an accept failed. */
    private double lastDelayMs = Double.NEGATIVE_INFINITY;

    private long accepted;
    private long acceptedAtLastCheck;
    private long failures;

    /**
     * @param freeCapacity supplies the number of further connections that may be accepted
     * @param evictOne closes an unused connection, if there is one, to make room for another
     */
    ClientAcceptor(Clock clock, Log log, IntSupplier freeCapacity, Runnable evictOne) {
        this.clock = clock;
        this.log = log;
        this.freeCapacity = freeCapacity;
        this.evictOne = evictOne;
    }

    /**
     * Starts listening.
     *
     * @param base provides the channel type and its options
     * @param listenAddress the address, or null if the channel is already listening
     */
    ChannelFuture listen(ServerBootstrap base, EventLoop eventLoop, SocketAddress listenAddress) {
        bootstrap = base.handler(new ListenerEvents());
        loop = eventLoop;
        address = listenAddress;
        shared = listenAddress == null;
        return open();
    }

    private ChannelFuture open() {
        ChannelFuture bound = shared ? bootstrap.register() : bootstrap.bind(address);
        bound.addListener(done -> loop.execute(() -> opened(bound)));
        return bound;
    }

    private void opened(ChannelFuture bound) {
        if (bound.isSuccess()) {
            listener = bound.channel();
            address = shared ? null : listener.localAddress();
            state = state == State.STOPPED ? State.STOPPED : State.ACCEPTING;
            adjust();
        } else if (state == State.REOPENING) {
            logFailure("client listener could not be reopened", bound.cause());
        }
    }

    /** Returns whether the listening socket is also open in other processes. */
    boolean isShared() {
        return shared;
    }

    /** Returns whether connections accepted now may have waited in the backlog, together with what their clients have sent. */
    boolean recentlyDelayed() {
        return clock.nowMs() - lastDelayMs < BACKLOG_DELAY_WINDOW_MS;
    }

    /** Counts an accepted connection. */
    void connectionAccepted() {
        accepted++;
    }

    /**
     * Suspends or resumes accepting. Suspending is the last resort: the system still accepts connections into the backlog,
     * and their requests may be too late when they are read. A pass accepts as many connections as there is capacity for, up
     * to a limit. With one per pass, a sidecar that got a tenth of a core, where passes are long, read requests after 2 s.
     * Without regard to the capacity, sixteen at once took the last file descriptors, and the event loop ended on an error
     * that it could not log for lack of a descriptor.
     */
    void adjust() {
        if (listener == null || state == State.STOPPED || state == State.REOPENING) {
            return;
        }
        int free = freeDescriptors();
        boolean pausing = clock.nowMs() < pausedUntilMs;
        state = pausing ? State.PAUSING : free > 0 ? State.ACCEPTING : State.FULL;
        lastDelayMs = state == State.ACCEPTING ? lastDelayMs : clock.nowMs();
        listener.config().setAutoRead(state == State.ACCEPTING);
        if (listener instanceof ClientListenerChannel channel) {
            channel.setMaxAccepts(Math.max(1, Math.min(free, MAX_ACCEPTS_PER_PASS)));
        }
    }

    /** Returns how many more connections may be accepted; those without a channel are not among the open ones yet. */
    private int freeDescriptors() {
        int unready = listener instanceof ClientListenerChannel channel ? channel.unreadyConnections() : 0;
        return freeCapacity.getAsInt() - unready;
    }

    /** Returns whether connections are being accepted, or have been accepted and have no channel yet. */
    boolean hasUnopenedConnections() {
        return listener instanceof ClientListenerChannel channel
                && (channel.isAccepting() || channel.unreadyConnections() > 0);
    }

    /** Reopens or polls the listener if necessary. Must be called periodically. */
    void check() {
        if (state == State.REOPENING) {
            reopen();
            return;
        }
        adjust();
        if (state == State.ACCEPTING
                && accepted == acceptedAtLastCheck
                && listener instanceof ClientListenerChannel channel) {
            channel.poll();
        }
        acceptedAtLastCheck = accepted;
    }

    /** Registers again with the selector, which did not report a waiting connection. */
    private void rearm() {
        if (state == State.STOPPED) {
            return; // it is polled until it closes
        }
        listener.config().setAutoRead(false);
        NextSelect.runAfter(loop, this::adjust);
    }

    private void reopen() {
        if (shared) {
            return; // a socket that is open in other processes can't be reopened by this one
        }
        try {
            open();
        } catch (RuntimeException e) {
            logFailure("client listener could not be reopened", e);
        }
    }

    private void logDelayed(ClientListenerChannel.Delayed delayed) {
        log.line("client connection accepted " + Math.round(delayed.waitedMs()) + " ms ago "
                + (delayed.usable() ? "has its channel now" : "is refused: its channel could not be created"));
    }

    private void logFailure(String what, Throwable cause) {
        if (failures++ % FAILURES_PER_LOG_LINE == 0) {
            log.line(what + "; retrying: " + cause);
        }
    }

    /** Accepts nothing for a while; connections wait in the backlog. */
    void pause(long durationMs) {
        if (state != State.STOPPED && state != State.STARTING) {
            pausedUntilMs = clock.nowMs() + durationMs;
            adjust();
            loop.schedule(this::adjust, durationMs + 1, TimeUnit.MILLISECONDS);
        }
    }

    /** Stops accepting. The listening socket stays open if other processes may share it. */
    void stop() {
        if (state == State.STOPPED) {
            return;
        }
        state = State.STOPPED;
        if (listener == null) {
            return;
        }
        if (shared) {
            listener.config().setAutoRead(false);
        } else {
            close();
        }
    }

    /**
     * Closes the listener once the backlog is empty, so that clients in it, with the requests that they have sent, are not
     * reset: the event loop may have been stalled until just now.
     */
    private void close() {
        if (listener instanceof ClientListenerChannel channel) {
            channel.closeOnceDrained(() -> log.line("closing the client listener: its backlog is empty"));
            closeAfterDraining(channel, MAX_DRAIN_PASSES);
        } else {
            listener.close();
        }
    }

    private void closeAfterDraining(ClientListenerChannel channel, int passesLeft) {
        if (!channel.isOpen()) {
            return;
        }
        if (freeDescriptors() <= 0) {
            evictOne.run();
        }
        if (passesLeft == 0 && !channel.isAccepting()) {
            log.line("closing the client listener although its backlog may not be empty");
            channel.close();
        } else if (passesLeft > 0) {
            pollBacklog(channel);
            loop.schedule(() -> closeAfterDraining(channel, passesLeft - 1), DRAIN_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Accepts waiting connections while there is capacity, even if accepting is paused after a failure or a new selector
     * registration is pending.
     */
    private void pollBacklog(ClientListenerChannel channel) {
        channel.config().setAutoRead(freeDescriptors() > 0);
        channel.poll();
    }

    @Override
    public String toString() {
        return state.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Handles events of the listening channel before Netty's default handler, which suspends accepting for a second after a
     * failure.
     */
    private final class ListenerEvents extends ChannelInboundHandlerAdapter {

        @Override
        public boolean isSharable() {
            return true; // it is stateless, and is added to each listening channel
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ClientListenerChannel.Event.ACCEPT_DELAYED) {
                lastDelayMs = clock.nowMs();
            } else if (event == ClientListenerChannel.Event.MISSED_BY_SELECTOR) {
                rearm();
            } else if (event instanceof ClientListenerChannel.Delayed delayed) {
                logDelayed(delayed);
            }
            ctx.fireUserEventTriggered(event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            logFailure("client connection could not be accepted", cause);
            pausedUntilMs = clock.nowMs() + FAILURE_DELAY_MS;
            adjust();
            ctx.executor().schedule(ClientAcceptor.this::adjust, (long) FAILURE_DELAY_MS + 1, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (state != State.STOPPED && state != State.STARTING) {
                logFailure("client listener closed unexpectedly", null);
                state = State.REOPENING;
            }
            ctx.fireChannelInactive();
        }
    }
}
