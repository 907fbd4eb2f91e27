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
 * Accepts the client's connections: it owns the listening channel, and whether it accepts. An accept that fails is followed by
 * another one a moment later, a listener that has ended by another one, and one of which the selector tells nothing is looked at
 * all the same. On one event loop.
 */
final class ClientAcceptor {

    /** What it does. */
    private enum State {
        STARTING,
        ACCEPTING,
        /** There is no room for another connection. */
        FULL,
        /** An accept has just failed. */
        PAUSING,
        /** The listening channel has ended by itself; the next one is not there yet. */
        REOPENING,
        STOPPED
    }

    private static final int MOST_AT_ONCE = 16;
    /** After an accept that failed: the connection that waits is reported again and again until it is taken. */
    private static final double PAUSE_MS = 10;
    /** By then the backlog has been taken up. */
    private static final double HELD_BACK_MS = 500;
    /** Before the listener closes: so long, up to so often, while somebody comes. */
    private static final long LAST_PASS_MS = 2;

    private static final int MOST_LAST_PASSES = 1000;
    /** What keeps failing is logged once in so many times. */
    private static final long LOGGED_FAILURES = 100;

    private final Clock clock;
    private final Log log;
    /** How many more connections there is room for. */
    private final IntSupplier room;

    private ServerBootstrap bootstrap;
    private SocketAddress address;
    private EventLoop loop;
    private Channel listener;
    private State state = State.STARTING;
    /** Whether the listening socket is open in other processes too. */
    private boolean shared;

    private double pausedUntilMs;
    /** When nothing was accepted last, for want of room or after a failure. */
    private double heldBackMs = Double.NEGATIVE_INFINITY;

    private long accepted;
    private long acceptedAtLastLook;
    private long failures;

    ClientAcceptor(Clock clock, Log log, IntSupplier room) {
        this.clock = clock;
        this.log = log;
        this.room = room;
    }

    /**
     * Begins to listen; the bootstrap brings the event loop, the kind of channel and its options. An {@code at} of null
     * means that the channel listens already.
     */
    ChannelFuture listen(ServerBootstrap base, EventLoop eventLoop, SocketAddress at) {
        bootstrap = base.handler(new Listening());
        loop = eventLoop;
        address = at;
        shared = at == null;
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
            failed("the clients' socket can't be opened anew", bound.cause());
        }
    }

    /** Whether the listening socket is open in other processes too. */
    boolean isShared() {
        return shared;
    }

    /** Whether what is accepted now may have stood in the backlog for a while, with all that its client had to say. */
    boolean heldBackOfLate() {
        return clock.nowMs() - heldBackMs < HELD_BACK_MS;
    }

    /** A connection has been accepted. */
    void accepted() {
        accepted++;
    }

    /**
     * The last resort: what waits in the backlog is taken all the same, and may be too late afterwards. As many are accepted in
     * a round as there is room for. Guards against those that wait where passes are long: with one in a pass a sidecar that got
     * a tenth of a core read requests after 2 s; and against the last descriptors: sixteen at once took them, and the event loop
     * ended on an error that it could not even log for want of one.
     */
    void adjust() {
        if (listener == null || state == State.STOPPED || state == State.REOPENING) {
            return;
        }
        int free = room.getAsInt();
        boolean pausing = clock.nowMs() < pausedUntilMs;
        state = pausing ? State.PAUSING : free > 0 ? State.ACCEPTING : State.FULL;
        heldBackMs = state == State.ACCEPTING ? heldBackMs : clock.nowMs();
        listener.config().setAutoRead(state == State.ACCEPTING);
        if (listener instanceof ClientListenerChannel channel) {
            channel.mostAtOnce(Math.max(1, Math.min(free, MOST_AT_ONCE)));
        }
    }

    /** Looks after the listener; to be called again and again. */
    void look() {
        if (state == State.REOPENING) {
            reopen();
            return;
        }
        adjust();
        if (state == State.ACCEPTING
                && accepted == acceptedAtLastLook
                && listener instanceof ClientListenerChannel channel) {
            channel.poll();
        }
        acceptedAtLastLook = accepted;
    }

    /** Somebody was there of whom the selector had told nothing: it is told anew what is waited for. */
    private void rearm() {
        if (state == State.STOPPED) {
            return; // it is asked until it closes
        }
        listener.config().setAutoRead(false);
        NextSelect.runAfter(loop, this::adjust);
    }

    private void reopen() {
        if (shared) {
            return; // what other processes have open can't be opened anew by this one
        }
        try {
            open();
        } catch (RuntimeException e) {
            failed("the clients' socket can't be opened anew", e);
        }
    }

    private void logDelayed(ClientListenerChannel.Delayed delayed) {
        log.line("a connection of the client that was accepted " + Math.round(delayed.waitedMs()) + " ms ago "
                + (delayed.used() ? "can be used now" : "is closed: it could not be used"));
    }

    private void failed(String what, Throwable cause) {
        if (failures++ % LOGGED_FAILURES == 0) {
            log.line(what + ", and is tried again: " + cause);
        }
    }

    /** Accepts nothing more; the listening socket is left as it is where it may be another process's as well. */
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
     * Closes the listener once nobody stands in the backlog. Guards those that do, with what they have sent: the event loop may
     * have been held up until just now.
     */
    private void close() {
        if (listener instanceof ClientListenerChannel channel) {
            channel.closeOnceDrained(() -> log.line("the clients' socket closes: nobody stands in its backlog"));
            closeInTime(channel, MOST_LAST_PASSES);
        } else {
            listener.close();
        }
    }

    private void closeInTime(ClientListenerChannel channel, int passes) {
        if (!channel.isOpen()) {
            return;
        }
        if ((room.getAsInt() <= 0 || passes == 0) && !channel.isAccepting()) {
            log.line("the clients' socket closes with no room for who may be there");
            channel.close();
        } else if (passes > 0) {
            lookAtBacklog(channel);
            loop.schedule(() -> closeInTime(channel, passes - 1), LAST_PASS_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Takes who is there as far as there is room, also where accepts have just paused or the selector was to be told anew. */
    private void lookAtBacklog(ClientListenerChannel channel) {
        channel.config().setAutoRead(room.getAsInt() > 0);
        channel.poll();
    }

    @Override
    public String toString() {
        return state.name().toLowerCase(Locale.ROOT);
    }

    /** Hears of what becomes of the listening channel, before Netty's own answer: that accepts nothing for a second. */
    private final class Listening extends ChannelInboundHandlerAdapter {

        @Override
        public boolean isSharable() {
            return true; // it has no state of its own, and each listening channel gets it
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ClientListenerChannel.Event.HELD_BACK) {
                heldBackMs = clock.nowMs();
            } else if (event == ClientListenerChannel.Event.FOUND_UNTOLD) {
                rearm();
            } else if (event instanceof ClientListenerChannel.Delayed delayed) {
                logDelayed(delayed);
            }
            ctx.fireUserEventTriggered(event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            failed("a connection of the client could not be accepted", cause);
            pausedUntilMs = clock.nowMs() + PAUSE_MS;
            adjust();
            ctx.executor().schedule(ClientAcceptor.this::adjust, (long) PAUSE_MS + 1, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (state != State.STOPPED && state != State.STARTING) {
                failed("the clients' socket has ended", null);
                state = State.REOPENING;
            }
            ctx.fireChannelInactive();
        }
    }
}
