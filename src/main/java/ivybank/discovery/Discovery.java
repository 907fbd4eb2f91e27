package ivybank.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.supervision.OutboundConnection;
import ivybank.supervision.SupervisedTask;
import ivybank.tally.Tally;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.Locale;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Follows discovery: the whole list first, then a watch from its version on; or at once a watch from the version of a list that
 * is known from before the start, which is one call and few lines instead of two calls and all lines. What breaks is begun again after a pause
 * that grows; what is silent for longer than the watch's empty lines are apart counts as broken, whatever bytes trickle in. Discovery may move: then all is
 * begun anew at its new address, for the versions of one say nothing to another; the old one is heard until the new one
 * has answered. Whenever a call has ended, {@code where} is asked for the address that holds now: a move that nobody has
 * told of is found then.
 *
 * <p>It owns the chain of calls: there is always one under way or a pause before the next, each with a time by which it must
 * have ended, and a {@link ivybank.supervision.Watchdog} that begins the next one where it has not.
 */
public final class Discovery implements SupervisedTask, DiscoveryCall.Owner {

    /** What the chain of calls is doing. */
    private enum State {
        NOT_STARTED,
        CONNECTING,
        LISTING,
        WATCHING,
        PAUSING,
        STOPPED
    }

    /** What a timer of its own may be late before it counts as lost. */
    private static final double LATE_MS = 100;
    /** The ends of so many calls in a row that brought nothing are logged one by one. */
    private static final int MOST_LOGGED_ENDS = 20;
    /** Of those behind them one in so many. */
    private static final int LOGGED_ENDS = 100;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Consumer<HostUpdate> listener;
    private final Timing timing;
    private final DoubleSupplier random;
    private final Clock clock;
    private final Log log;
    /** The version that all is known up to, or -1 where the whole list is needed. */
    private long seq;
    /** The newest version that this address has told, or -1. */
    private long newest = -1;
    /** Whether {@code seq} is from before the start, and nothing has been heard since that confirms it. */
    private boolean remembered;

    private double pauseMs = Timing.FIRST_PAUSE_MS;
    /** Watches in a row that have fallen silent without a word. */
    private int silent;

    private boolean reachable = true;
    /** Calls in a row that have ended without an answer. */
    private int endsInVain;

    private State state = State.NOT_STARTED;
    /** By when the state must have ended, by the module's clock. */
    private double dueMs = NEVER;

    private SocketAddress address;
    private final Supplier<SocketAddress> where;
    /** Since when it has been asked at this address without a word from there, or NaN. */
    private double movedMs = Double.NaN;
    /** The call at hand; what others still bring is late and is ignored, but for one to the address before a move. */
    private DiscoveryCall current;

    private DiscoveryCall previous;
    private ScheduledFuture<?> nextStart;
    private Runnable firstWord = () -> {};
    private Tally tally = Tally.NONE;
    private ListLease lease = ListLease.unlimited();
    /** Whether the log has it that the list has lapsed. */
    private boolean listLapsed;

    /**
     * @param where may return null: then the address stays
     * @param from the version to go on from, of a list that is known, or -1 to begin with the whole list
     */
    public Discovery(
            EventLoop loop,
            Bootstrap base,
            SocketAddress address,
            Supplier<SocketAddress> where,
            long from,
            Timing timing,
            Consumer<HostUpdate> listener,
            Clock clock,
            Log log) {
        this(
                loop,
                base,
                address,
                where,
                from,
                timing,
                () -> ThreadLocalRandom.current().nextDouble(),
                listener,
                clock,
                log);
    }

    /** {@code random}: from 0 to 1, what a pause is drawn by. */
    Discovery(
            EventLoop loop,
            Bootstrap base,
            SocketAddress address,
            Supplier<SocketAddress> where,
            long from,
            Timing timing,
            DoubleSupplier random,
            Consumer<HostUpdate> listener,
            Clock clock,
            Log log) {
        this.seq = from;
        this.remembered = from >= 0;
        this.loop = loop;
        this.where = where;
        this.timing = timing;
        this.random = random;
        this.listener = listener;
        this.clock = clock;
        this.log = log;
        this.address = address;
        this.bootstrap = base.group(loop).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timing.connectMs());
    }

    /** From now on tells this of calls and versions. Before the start. */
    public void setTally(Tally counts) {
        tally = counts;
    }

    /** From now on tells this when the list is confirmed, and when it can't be. Before the start. */
    public void setLease(ListLease listLease) {
        lease = listLease;
    }

    /**
     * Tells this once, when the first call has brought a list or has ended without one, at the latest when one that is answered
     * must have done so. Before the start.
     */
    public void onFirstCallCompleted(Runnable listens) {
        firstWord = listens;
        loop.schedule(this::firstWord, (long) timing.returnMs(), TimeUnit.MILLISECONDS);
    }

    private void firstWord() {
        Runnable told = firstWord;
        firstWord = () -> {};
        told.run();
    }

    public void start() {
        if (state == State.STOPPED) {
            return;
        }
        tally.discoveryCalled();
        DiscoveryCall call =
                new DiscoveryCall(this, timing, clock, silent, timing.asksForAll(silent) ? -1 : seq, newest);
        current = call;
        enter(State.CONNECTING, timing.connectMs());
        Bootstrap calling = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), call);
            }
        });
        call.connection = OutboundConnection.open(calling, loop, address, new CallEnd(call));
    }

    public void stop() {
        enter(State.STOPPED, NEVER);
    }

    private void enter(State next, double mostMs) {
        if (state != State.STOPPED) {
            state = next;
            dueMs = clock.nowMs() + mostMs + LATE_MS;
        }
    }

    @Override
    public String name() {
        return "discovery";
    }

    @Override
    public String state() {
        return state.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public double dueMs() {
        return state == State.STOPPED || state == State.NOT_STARTED ? NEVER : dueMs;
    }

    /** Looks at the call at hand without being told to, where nothing was told of it yet. To be called often. */
    public void verify() {
        if (current != null) {
            current.verify();
        }
        logLapse(lease.hasLapsed(clock.nowMs()));
    }

    private void logLapse(boolean lapsed) {
        if (lapsed != listLapsed) {
            listLapsed = lapsed;
            log.line(
                    lapsed
                            ? "discovery: this machine may have missed a change; nothing is sent by the list before discovery answers"
                            : "discovery: the list holds again");
        }
    }

    /** A step of the chain was lost: the call at hand is given up, and the next one begun. */
    @Override
    public void restart() {
        DiscoveryCall lost = current;
        cancelNextStart();
        if (lost != null && state != State.PAUSING) {
            lease.ended(clock.nowMs(), false);
        }
        try {
            start();
        } finally {
            if (lost != null) {
                lost.close();
            }
        }
    }

    /** Goes on at another address, with the list as it is known until the whole one has come from there. */
    public void moveTo(SocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        log.line("discovery moves from " + address + " to " + next + ", at version " + seq
                + (reachable ? "" : ", while it does not answer"));
        address = next;
        movedMs = clock.nowMs();
        seq = -1;
        newest = -1;
        silent = 0;
        remembered = false;
        pauseMs = Timing.FIRST_PAUSE_MS;
        cancelNextStart();
        if (current != null) { // else nothing has been started yet
            if (previous != null) {
                previous.close();
            }
            previous = current;
            start();
        }
    }

    private void cancelNextStart() {
        if (nextStart != null) {
            nextStart.cancel(false);
        }
    }

    /** Hears of the end of one call, however it came about. */
    private final class CallEnd implements OutboundConnection.Listener {
        private final DiscoveryCall call;
        private final double begunMs = clock.nowMs();

        CallEnd(DiscoveryCall call) {
            this.call = call;
        }

        @Override
        public void up(Channel channel) {
            // The call itself begins when its channel is active.
        }

        @Override
        public void failed(Throwable cause, boolean local) {
            if (call == current && !local) {
                lease.asked(begunMs); // it can't be reached
            }
            ended(local, "not connected" + (local ? " for want of something here: " : ": ") + cause.getMessage());
        }

        @Override
        public void closed() {
            ended(false, call.failure());
        }

        private void ended(boolean here, String why) {
            if (call == current) {
                lease.ended(clock.nowMs(), here);
                tally.discoveryCallFailed("ended");
                logEnd(why);
                lost(why);
            }
            again(call);
        }
    }

    /** Says of each call what it ended of: lists that are not told are explained by what became of every call since. */
    private void logEnd(String why) {
        endsInVain++;
        if (endsInVain <= MOST_LOGGED_ENDS || endsInVain % LOGGED_ENDS == 0) {
            log.line("discovery: call " + endsInVain + " since the last answer ended in state " + state() + ": " + why);
        }
    }

    private void again(DiscoveryCall ended) {
        if (ended != current) {
            firstWord();
            return;
        }
        // At random times: many sidecars come back to one service.
        double delayMs = Math.min(timing.longestPauseMs(), pauseMs) * (0.5 + random.getAsDouble() / 2);
        pauseMs = Math.min(timing.longestPauseMs(), 2 * pauseMs);
        enter(State.PAUSING, delayMs);
        if (state != State.STOPPED) {
            nextStart = loop.schedule(this::startWhereItIs, (long) delayMs, TimeUnit.MILLISECONDS);
        }
        firstWord();
    }

    /** Guards against a signal that never came: without it the sidecar stayed at an address that had closed for good. */
    private void startWhereItIs() {
        SocketAddress now = placeNow();
        if (now != null && !now.equals(address)) {
            moveTo(now);
        } else {
            start();
        }
    }

    private SocketAddress placeNow() {
        try {
            return where.get();
        } catch (RuntimeException e) {
            log.line("where discovery is now can't be read, it is asked where it was: " + e);
            return null;
        }
    }

    @Override
    public boolean heeds(DiscoveryCall call) {
        return call == current || call == previous;
    }

    @Override
    public void waits(DiscoveryCall call, boolean watching, long mostMs) {
        if (call == current) {
            enter(watching ? State.WATCHING : State.LISTING, (double) mostMs);
        }
    }

    @Override
    public void asked(DiscoveryCall call) {
        if (call == current) {
            lease.asked(clock.nowMs());
        }
    }

    @Override
    public void unreadableForNow(DiscoveryCall call) {
        if (call == current) {
            lease.unreadable(clock.nowMs());
        }
    }

    @Override
    public void readOut(DiscoveryCall call) {
        if (call == current) {
            lease.readOut();
        }
    }

    @Override
    public void listed(DiscoveryCall call, double askedMs, boolean spoilt) {
        if (call == current) {
            lease.heardList(askedMs, spoilt);
        }
    }

    /**
     * There is life in the call at hand. Guards against pauses that stay long: a watch that had come up well and brought
     * nothing but empty lines left them as they had grown, and its next break was answered seconds late.
     */
    @Override
    public void alive(DiscoveryCall call) {
        if (call == current) {
            silent = 0;
            alive();
        }
    }

    private void alive() {
        if (!reachable) {
            log.line("discovery answers again, at version " + Math.max(seq, newest));
        }
        reachable = true;
        endsInVain = 0;
        pauseMs = Timing.FIRST_PAUSE_MS;
        lease.heard();
    }

    @Override
    public void silent(DiscoveryCall call, boolean word) {
        if (call == current) {
            silent = word ? 1 : silent + 1;
        }
    }

    @Override
    public void unreadable(DiscoveryCall call) {
        if (call == current) {
            seq = -1;
        }
    }

    @Override
    public void refused(int status) {
        tally.discoveryCallFailed(Integer.toString(status));
    }

    @Override
    public void failed(DiscoveryCall call, String why) {
        if (call == current) {
            lost(why);
        }
    }

    /** The first list after a move, or after a call that broke, ends what the old address has to say. */
    private void heard(long version, int entries) {
        if (!Double.isNaN(movedMs)) {
            log.line("discovery at " + address + " first answers after " + Math.round(clock.nowMs() - movedMs)
                    + " ms: version " + version + ", " + entries + " entries");
            reachable = true;
        }
        movedMs = Double.NaN;
        alive();
        if (previous != null) {
            DiscoveryCall old = previous;
            previous = null;
            old.close();
        }
    }

    private void lost(String why) {
        if (reachable) {
            log.line("discovery: " + why + "; going on with the list of version " + Math.max(seq, newest));
        }
        reachable = false;
    }

    @Override
    public void confirms(DiscoveryCall call, HostUpdate update, long version) throws IOException {
        if (call == current && remembered) {
            remembered = false;
            if (!update.whole() && update.seq() < version) {
                seq = -1;
                newest = -1;
                throw new IOException(
                        "it is at version " + update.seq() + " and knows nothing of the list of version " + version);
            }
        }
        if (call == current && !Double.isNaN(movedMs)) {
            call.firstSinceMove = true;
        }
        if (call == current) {
            heard(update.seq(), update.entries().size());
        }
    }

    @Override
    public void take(DiscoveryCall call, HostUpdate update, boolean behind) {
        boolean moved = call.firstSinceMove;
        call.firstSinceMove = false;
        tally.listUpdated(update.seq());
        if (call == current) {
            seq = -1; // until it has been taken over: an update that fails there must come again
        }
        listener.accept(moved || behind ? update.elsewhere() : update);
        if (call == current) {
            seq = update.seq();
            newest = seq;
            firstWord();
        }
    }
}
