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
 * Follows discovery: fetches the whole list and then watches it from its version on. Where a list is known from before
 * the start, the watch resumes from its version at once, which costs one call and a few lines instead of two calls and
 * all lines. A broken call is repeated after a growing pause. A watch that is silent for longer than the interval of
 * its empty lines counts as broken, whatever bytes trickle in. Discovery may move: everything starts over at its new
 * address, because the versions of one address say nothing about another, and the old one is followed until the new one
 * has answered. After each call, {@code addressSupplier} is asked for the current address, which finds a move that
 * nobody has announced.
 *
 * <p>This class is the task that makes the calls, one after another. There is always a call under way or a pause
 * before the next one, each with a time by which it must have ended, and a {@link ivybank.supervision.Watchdog} starts
 * the next one where it has not.
 */
public final class Discovery implements SupervisedTask, DiscoveryCall.Owner {

    /** The state of the task. */
    private enum State {
        NOT_STARTED,
        CONNECTING,
        LISTING,
        WATCHING,
        PAUSING,
        STOPPED
    }

    /** The delay beyond which a timer of this class counts as lost. */
    private static final double MAX_TIMER_DELAY_MS = 100;
    /** The number of consecutive failed calls that are logged one by one. */
    private static final int MAX_CONSECUTIVE_LOGGED_FAILURES = 20;
    /** Of the failed calls after these, one in this number is logged. */
    private static final int LOGGED_FAILURE_INTERVAL = 100;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Consumer<NodeListUpdate> listener;
    private final Timing timing;
    private final DoubleSupplier random;
    private final Clock clock;
    private final Log log;
    /** The version up to which all changes are known, or -1 where the whole list is needed. */
    private long knownVersion;
    /** The newest version that this address has reported, or -1. */
    private long newestVersion = -1;
    /** Whether {@code knownVersion} is from before the start and no answer has confirmed it since. */
    private boolean unconfirmed;

    private double pauseMs = Timing.INITIAL_PAUSE_MS;
    /** The number of consecutive watches that have fallen silent without any data. */
    private int silentWatches;

    private boolean reachable = true;
    /** The number of consecutive calls that have ended without an answer. */
    private int failedCallsInRow;

    private State state = State.NOT_STARTED;
    /** The time by which the state must have ended, by the clock of the decision module. */
    private double dueMs = NEVER;

    private SocketAddress address;
    private final Supplier<SocketAddress> addressSupplier;
    /** The time of a move to this address, until it first answers; or NaN. */
    private double movedAtMs = Double.NaN;
    /**
     * The current call. Events of others are late and are ignored, except for those of the call to the address before a move.
     */
    private DiscoveryCall current;

    private DiscoveryCall previous;
    private ScheduledFuture<?> nextStart;
    private Runnable onFirstCallCompleted = () -> {};
    private Tally tally = Tally.NONE;
    private ListLease lease = ListLease.unlimited();
    /** Whether the log states that the lease of the list has expired. */
    private boolean expiryLogged;

    /**
     * Creates a follower of discovery.
     *
     * @param addressSupplier returns the current address, or null where it is unchanged
     * @param from the version of a known list from which to resume, or -1 to start with the whole list
     */
    public Discovery(
            EventLoop loop,
            Bootstrap base,
            SocketAddress address,
            Supplier<SocketAddress> addressSupplier,
            long from,
            Timing timing,
            Consumer<NodeListUpdate> listener,
            Clock clock,
            Log log) {
        this(
                loop,
                base,
                address,
                addressSupplier,
                from,
                timing,
                () -> ThreadLocalRandom.current().nextDouble(),
                listener,
                clock,
                log);
    }

    /** Creates a follower; {@code random} returns a number from 0 to 1, by which a pause is drawn. */
    Discovery(
            EventLoop loop,
            Bootstrap base,
            SocketAddress address,
            Supplier<SocketAddress> addressSupplier,
            long from,
            Timing timing,
            DoubleSupplier random,
            Consumer<NodeListUpdate> listener,
            Clock clock,
            Log log) {
        this.knownVersion = from;
        this.unconfirmed = from >= 0;
        this.loop = loop;
        this.addressSupplier = addressSupplier;
        this.timing = timing;
        this.random = random;
        this.listener = listener;
        this.clock = clock;
        this.log = log;
        this.address = address;
        this.bootstrap = base.group(loop).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timing.connectMs());
    }

    /** Sets the tally that counts calls and versions. Must be called before the start. */
    public void setTally(Tally counts) {
        tally = counts;
    }

    /** Sets the lease that tracks whether the list is confirmed. Must be called before the start. */
    public void setLease(ListLease listLease) {
        lease = listLease;
    }

    /**
     * Sets a callback that runs once: when the first call has brought a list or has ended without one, at the latest when an
     * answered call must have done so. Must be called before the start.
     */
    public void onFirstCallCompleted(Runnable listener) {
        onFirstCallCompleted = listener;
        loop.schedule(this::notifyFirstCallCompleted, (long) timing.maxCallAfterOutageMs(), TimeUnit.MILLISECONDS);
    }

    private void notifyFirstCallCompleted() {
        Runnable pending = onFirstCallCompleted;
        onFirstCallCompleted = () -> {};
        pending.run();
    }

    public void start() {
        if (state == State.STOPPED) {
            return;
        }
        tally.discoveryCalled();
        DiscoveryCall call = new DiscoveryCall(
                this,
                timing,
                clock,
                silentWatches,
                timing.needsWholeList(silentWatches) ? -1 : knownVersion,
                newestVersion);
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

    private void enter(State next, double timeoutMs) {
        if (state != State.STOPPED) {
            state = next;
            dueMs = clock.nowMs() + timeoutMs + MAX_TIMER_DELAY_MS;
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

    /**
     * Checks the current call without an event of the selector, where no event of it has arrived yet. To be called often.
     */
    public void verify() {
        if (current != null) {
            current.verify();
        }
        logExpiry(lease.hasExpired(clock.nowMs()));
    }

    private void logExpiry(boolean expired) {
        if (expired != expiryLogged) {
            expiryLogged = expired;
            log.line(
                    expired
                            ? "discovery: this machine may have missed a change; no requests are sent by the list until discovery answers"
                            : "discovery: the list is valid again");
        }
    }

    /** Recovers from a lost step of the task: abandons the current call and starts the next one. */
    @Override
    public void restart() {
        DiscoveryCall lost = current;
        cancelNextStart();
        if (lost != null && state != State.PAUSING) {
            lease.callEnded(clock.nowMs(), false);
        }
        try {
            start();
        } finally {
            if (lost != null) {
                lost.close();
            }
        }
    }

    /** Moves to another address, with the list as it is known until the whole list has arrived from there. */
    public void moveTo(SocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        log.line("discovery moves from " + address + " to " + next + ", at version " + knownVersion
                + (reachable ? "" : ", while it does not answer"));
        address = next;
        movedAtMs = clock.nowMs();
        knownVersion = -1;
        newestVersion = -1;
        silentWatches = 0;
        unconfirmed = false;
        pauseMs = Timing.INITIAL_PAUSE_MS;
        cancelNextStart();
        if (current != null) { // otherwise no call has been started yet
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

    /** Handles the end of one call, however it came about. */
    private final class CallEnd implements OutboundConnection.Listener {
        private final DiscoveryCall call;
        private final double startedMs = clock.nowMs();

        CallEnd(DiscoveryCall call) {
            this.call = call;
        }

        @Override
        public void up(Channel channel) {
            // The call starts when its channel becomes active.
        }

        @Override
        public void failed(Throwable cause, boolean local) {
            if (call == current && !local) {
                lease.requestSent(startedMs); // discovery is unreachable
            }
            ended(local, "not connected" + (local ? " for lack of a local resource: " : ": ") + cause.getMessage());
        }

        @Override
        public void closed() {
            ended(false, call.failure());
        }

        private void ended(boolean local, String reason) {
            if (call == current) {
                lease.callEnded(clock.nowMs(), local);
                tally.discoveryCallFailed("ended");
                logEnd(reason);
                markUnreachable(reason);
            }
            scheduleNext(call);
        }
    }

    /** Logs why each call ended: where lists stop arriving, the outcome of every call since then explains it. */
    private void logEnd(String reason) {
        failedCallsInRow++;
        if (failedCallsInRow <= MAX_CONSECUTIVE_LOGGED_FAILURES || failedCallsInRow % LOGGED_FAILURE_INTERVAL == 0) {
            log.line("discovery: call " + failedCallsInRow + " since the last answer ended in state " + state() + ": "
                    + reason);
        }
    }

    private void scheduleNext(DiscoveryCall ended) {
        if (ended != current) {
            notifyFirstCallCompleted();
            return;
        }
        // Randomized, because many sidecars return to one service at the same time.
        double delayMs = Math.min(timing.longestPauseMs(), pauseMs) * (0.5 + random.getAsDouble() / 2);
        pauseMs = Math.min(timing.longestPauseMs(), 2 * pauseMs);
        enter(State.PAUSING, delayMs);
        if (state != State.STOPPED) {
            nextStart = loop.schedule(this::startAtCurrentAddress, (long) delayMs, TimeUnit.MILLISECONDS);
        }
        notifyFirstCallCompleted();
    }

    /**
     * Starts the next call at the current address. Guards against a change signal that never arrived, without which the sidecar
     * kept calling an address that had closed for good.
     */
    private void startAtCurrentAddress() {
        SocketAddress target = currentAddress();
        if (target != null && !target.equals(address)) {
            moveTo(target);
        } else {
            start();
        }
    }

    private SocketAddress currentAddress() {
        try {
            return addressSupplier.get();
        } catch (RuntimeException e) {
            log.line("the address of discovery can't be read, using the previous one: " + e);
            return null;
        }
    }

    @Override
    public boolean accepts(DiscoveryCall call) {
        return call == current || call == previous;
    }

    @Override
    public void waiting(DiscoveryCall call, boolean watching, long timeoutMs) {
        if (call == current) {
            enter(watching ? State.WATCHING : State.LISTING, (double) timeoutMs);
        }
    }

    @Override
    public void requestSent(DiscoveryCall call) {
        if (call == current) {
            lease.requestSent(clock.nowMs());
        }
    }

    @Override
    public void readFailed(DiscoveryCall call) {
        if (call == current) {
            lease.readFailed(clock.nowMs());
        }
    }

    @Override
    public void readRecovered(DiscoveryCall call) {
        if (call == current) {
            lease.readRecovered();
        }
    }

    @Override
    public void listReceived(DiscoveryCall call, double askedMs, boolean readFailed) {
        if (call == current) {
            lease.listReceived(askedMs, readFailed);
        }
    }

    /**
     * Resets the pause when the watch is alive. A watch that delivered nothing but empty lines once left the pause as long as it
     * had grown, and the next failure was answered seconds late.
     */
    @Override
    public void watchAlive(DiscoveryCall call) {
        if (call == current) {
            silentWatches = 0;
            markReachable();
        }
    }

    private void markReachable() {
        if (!reachable) {
            log.line("discovery answers again, at version " + Math.max(knownVersion, newestVersion));
        }
        reachable = true;
        failedCallsInRow = 0;
        pauseMs = Timing.INITIAL_PAUSE_MS;
        lease.dataReceived();
    }

    @Override
    public void watchSilent(DiscoveryCall call, boolean hadData) {
        if (call == current) {
            silentWatches = hadData ? 1 : silentWatches + 1;
        }
    }

    @Override
    public void malformed(DiscoveryCall call) {
        if (call == current) {
            knownVersion = -1;
        }
    }

    @Override
    public void statusReceived(int status) {
        tally.discoveryCallFailed(Integer.toString(status));
    }

    @Override
    public void callFailed(DiscoveryCall call, String reason) {
        if (call == current) {
            markUnreachable(reason);
        }
    }

    /** Handles the first list after a move or a broken call, which makes the old address irrelevant. */
    private void answered(long version, int entries) {
        if (!Double.isNaN(movedAtMs)) {
            log.line("discovery at " + address + " first answers after " + Math.round(clock.nowMs() - movedAtMs)
                    + " ms: version " + version + ", " + entries + " entries");
            reachable = true;
        }
        movedAtMs = Double.NaN;
        markReachable();
        if (previous != null) {
            DiscoveryCall old = previous;
            previous = null;
            old.close();
        }
    }

    private void markUnreachable(String reason) {
        if (reachable) {
            log.line("discovery: " + reason + "; going on with the list of version "
                    + Math.max(knownVersion, newestVersion));
        }
        reachable = false;
    }

    @Override
    public void updateReceived(DiscoveryCall call, NodeListUpdate update, long version) throws IOException {
        if (call == current && unconfirmed) {
            unconfirmed = false;
            if (!update.whole() && update.seq() < version) {
                knownVersion = -1;
                newestVersion = -1;
                throw new IOException(
                        "it is at version " + update.seq() + " and doesn't know the list of version " + version);
            }
        }
        if (call == current && !Double.isNaN(movedAtMs)) {
            call.firstSinceMove = true;
        }
        if (call == current) {
            answered(update.seq(), update.entries().size());
        }
    }

    @Override
    public void applyUpdate(DiscoveryCall call, NodeListUpdate update, boolean outdated) {
        boolean moved = call.firstSinceMove;
        call.firstSinceMove = false;
        tally.listUpdated(update.seq());
        if (call == current) {
            knownVersion = -1; // until it has been applied: an update that fails there must be delivered again
        }
        listener.accept(moved || outdated ? update.asFromElsewhere() : update);
        if (call == current) {
            knownVersion = update.seq();
            newestVersion = knownVersion;
            notifyFirstCallCompleted();
        }
    }
}
