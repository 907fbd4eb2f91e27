package ivybank.rehearsal.stand;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import ivybank.common.Clock;
import ivybank.rehearsal.referee.Referee;
import ivybank.rehearsal.referee.Returns;
import ivybank.rehearsal.scenario.Scenario;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * What the stand-ins of one day share: one thread, on which all of them live, its clock, the referee and what each call
 * takes. The day begins when {@link #begin} is called; times are in ms from then on, and negative before.
 */
public final class World {

    private static final long LATENESS_EVERY_MS = 10;

    final Scenario scenario;
    final EventLoopGroup acceptor;
    final EventLoop loop;
    final Referee referee;
    final int net; // second part of the addresses
    private final Map<String, Load> loads = new HashMap<>();
    final Returns returns = new Returns();
    private final Clock clock;
    private final SplittableRandom random = new SplittableRandom(1);
    private double beganMs;
    private double expectedMs;
    private double lateMs;
    private long connections;
    private final Map<String, Long> attempts = new HashMap<>(); // by node
    private long givenUp;

    /** {@code net}: 1 to 254, the second part of all its addresses. */
    public World(Scenario scenario, EventLoopGroup acceptor, EventLoop loop, Clock clock, Referee referee, int net) {
        this.scenario = scenario;
        this.acceptor = acceptor;
        this.loop = loop;
        this.clock = clock;
        this.referee = referee;
        this.net = net;
        this.beganMs = clock.nowMs();
    }

    /** The day begins now. */
    public void begin() {
        beganMs = clock.nowMs();
        expectedMs = nowMs() + LATENESS_EVERY_MS;
        loop.schedule(this::watchLateness, LATENESS_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    /** How late this thread itself is: what it measures of others is no better than that. */
    private void watchLateness() {
        lateMs = Math.max(lateMs, nowMs() - expectedMs);
        expectedMs = nowMs() + LATENESS_EVERY_MS;
        loop.schedule(this::watchLateness, LATENESS_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    /** The most that the kit itself was late so far, in ms. */
    public double latenessMs() {
        return lateMs;
    }

    public double nowMs() {
        return clock.nowMs() - beganMs;
    }

    /** Unix time in ms, as the roster states starts. */
    double unixMs() {
        return clock.nowMs();
    }

    public ScheduledFuture<?> after(double delayMs, Runnable task) {
        return loop.schedule(task, Math.max(0, (long) (delayMs * 1000)), TimeUnit.MICROSECONDS);
    }

    /** At a time of the day. */
    public ScheduledFuture<?> at(double atMs, Runnable task) {
        return after(atMs - nowMs(), task);
    }

    /** A draw for what the network does; not of the plan, for what comes when depends on the machine. */
    double random() {
        return random.nextDouble();
    }

    /** Notes a connection to a node. */
    void connected(String host) {
        connections++;
        returns.connected(host, nowMs());
    }

    /** Notes an attempt at a node: of a call whose id begins with the number of its sidecar, where a client has made it. */
    void attempted(String host, String callId, boolean justBack) {
        attempts.merge(host, 1L, Long::sum);
        int dash = callId.indexOf('-');
        if (dash > 0 && loads.containsKey(callId)) {
            returns.attempted(Integer.parseInt(callId.substring(0, dash)), host, justBack, nowMs());
        }
    }

    /** Notes an attempt whose connection was closed under it: giving one up costs its connection. */
    void gaveUp() {
        givenUp++;
    }

    long givenUp() {
        return givenUp;
    }

    long connections() {
        return connections;
    }

    Map<String, Long> attempts() {
        return Map.copyOf(attempts);
    }

    void load(String callId, Load load) {
        loads.put(callId, load);
    }

    /** What a call takes; null if no client has sent it. */
    Load load(String callId) {
        return loads.get(callId);
    }
}
