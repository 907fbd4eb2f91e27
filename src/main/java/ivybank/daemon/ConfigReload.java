package ivybank.daemon;

import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.supervision.EventLoopTasks;
import ivybank.supervision.SupervisedTask;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reloads the configuration on a signal and follows discovery to its current address; nothing else in the file can
 * change while the sidecar runs. An unreadable file is retried, at first often and then rarely, until it can be read or
 * another signal arrives. Runs on the event loop, so that the last signal uses the newest content.
 */
final class ConfigReload implements SupervisedTask {

    private enum State {
        IDLE,
        RETRYING
    }

    private static final long RETRY_DELAY_MS = 50;
    private static final long SLOW_RETRY_DELAY_MS = 1000;
    /** The time after a signal from which on retries are slow. */
    private static final double FAST_RETRY_PERIOD_MS = 5000;
    /** The delay after which a retry timer counts as lost. */
    private static final double LOST_TIMER_MS = 200;

    private final EventLoop loop;
    private final ConfigFile file;
    private final Consumer<InetSocketAddress> discoveryListener;
    private final Clock clock;
    private final Log log;
    private State state = State.IDLE;
    private double dueMs = NEVER;
    private double lastSignalMs;
    private boolean slowRetryLogged;
    /** The number of signals received so far. */
    private int signals;

    ConfigReload(EventLoop loop, ConfigFile file, Consumer<InetSocketAddress> discoveryListener, Clock clock, Log log) {
        this.loop = loop;
        this.file = file;
        this.discoveryListener = discoveryListener;
        this.clock = clock;
        this.log = log;
    }

    /** Handles a signal. Can be called on any thread. */
    void signalled() {
        double nowMs = clock.nowMs();
        EventLoopTasks.execute(loop, () -> begin(nowMs));
    }

    private void begin(double signalledMs) {
        signals++;
        lastSignalMs = signalledMs;
        slowRetryLogged = false;
        read(signals);
    }

    @Override
    public String name() {
        return "reload of the configuration";
    }

    @Override
    public String state() {
        return state.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public double dueMs() {
        return state == State.IDLE ? NEVER : dueMs;
    }

    @Override
    public void restart() {
        read(signals);
    }

    private void read(int number) {
        if (number < signals || loop.isShuttingDown()) {
            return; // a later signal reads the file itself
        }
        double sinceMs = clock.nowMs() - lastSignalMs;
        try {
            InetSocketAddress next = file.discovery();
            log.line("reloading the configuration (signal " + number + ", read after " + Math.round(sinceMs)
                    + " ms): discovery is at " + NetUtil.toSocketAddressString(next));
            discoveryListener.accept(next);
            state = State.IDLE;
        } catch (ConfigException | RuntimeException e) {
            retry(number, sinceMs, e);
        }
    }

    /** Schedules another read: the file may be partly replaced. */
    private void retry(int number, double sinceMs, Exception cause) {
        boolean slow = sinceMs > FAST_RETRY_PERIOD_MS;
        if (sinceMs < RETRY_DELAY_MS || slow && !slowRetryLogged) {
            log.line("signal " + number + ": keeping the current configuration" + (slow ? "" : ", retrying") + ": "
                    + cause.getMessage());
            slowRetryLogged = slow;
        }
        long delayMs = slow ? SLOW_RETRY_DELAY_MS : RETRY_DELAY_MS;
        state = State.RETRYING;
        dueMs = clock.nowMs() + delayMs + LOST_TIMER_MS;
        loop.schedule(() -> read(number), delayMs, TimeUnit.MILLISECONDS);
    }
}
