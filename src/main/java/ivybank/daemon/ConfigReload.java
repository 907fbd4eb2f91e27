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
 * Reads the configuration again at a signal, and follows discovery to where it is now; nothing else of the file can change while
 * the sidecar runs. A file that can't be read is tried again, ever more rarely, until it can or another signal comes. On the
 * event loop, so that the last signal takes the newest text.
 */
final class ConfigReload implements SupervisedTask {

    private enum State {
        IDLE,
        RETRYING
    }

    private static final long PAUSE_MS = 50;
    private static final long LONG_PAUSE_MS = 1000;
    /** After which it is tried only now and then. */
    private static final double OFTEN_MS = 5000;
    /** A timer that is later counts as lost. */
    private static final double LATE_MS = 200;

    private final EventLoop loop;
    private final ConfigFile file;
    private final Consumer<InetSocketAddress> discovery;
    private final Clock clock;
    private final Log log;
    private State state = State.IDLE;
    private double dueMs = NEVER;
    private double toldMs;
    private boolean toldRare;
    /** Signals so far. */
    private int signals;

    ConfigReload(EventLoop loop, ConfigFile file, Consumer<InetSocketAddress> discovery, Clock clock, Log log) {
        this.loop = loop;
        this.file = file;
        this.discovery = discovery;
        this.clock = clock;
        this.log = log;
    }

    /** A signal has come. On any thread. */
    void signalled() {
        double nowMs = clock.nowMs();
        EventLoopTasks.execute(loop, () -> begin(nowMs));
    }

    private void begin(double signalledMs) {
        signals++;
        toldMs = signalledMs;
        toldRare = false;
        read(signals);
    }

    @Override
    public String name() {
        return "reading the configuration again";
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
            return; // a later signal reads the file by itself
        }
        double sinceMs = clock.nowMs() - toldMs;
        try {
            InetSocketAddress next = file.discovery();
            log.line("told to read the configuration again (signal " + number + ", read after " + Math.round(sinceMs)
                    + " ms): discovery is at " + NetUtil.toSocketAddressString(next));
            discovery.accept(next);
            state = State.IDLE;
        } catch (ConfigException | RuntimeException e) {
            retry(number, sinceMs, e);
        }
    }

    /** It may be half replaced. */
    private void retry(int number, double sinceMs, Exception why) {
        boolean rare = sinceMs > OFTEN_MS;
        if (sinceMs < PAUSE_MS || rare && !toldRare) {
            log.line("signal " + number + ": going on as before" + (rare ? "" : ", and trying for a while") + ": "
                    + why.getMessage());
            toldRare = rare;
        }
        long pauseMs = rare ? LONG_PAUSE_MS : PAUSE_MS;
        state = State.RETRYING;
        dueMs = clock.nowMs() + pauseMs + LATE_MS;
        loop.schedule(() -> read(number), pauseMs, TimeUnit.MILLISECONDS);
    }
}
