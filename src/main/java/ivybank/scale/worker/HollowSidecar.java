package ivybank.scale.worker;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.discovery.Directory;
import ivybank.discovery.Discovery;
import ivybank.discovery.NodeListUpdate;
import ivybank.discovery.Timing;
import ivybank.policy.Balancer.ListKind;
import ivybank.policy.LoadShiftingBalancer;
import ivybank.tally.SecondTally;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The control part of one sidecar without its data path: discovery's client on a real socket, the directory, the decision module's
 * list of nodes and the counts of each second, all of the classes that the sidecar itself uses. Lives on one event loop.
 */
final class HollowSidecar {

    /** As where one service answers all sidecars: the agent of a pushed list would be one for each machine. */
    private static final Timing PATIENCE = Timing.standard(true, Timing.DEFAULT_DRAIN_GRACE_MS);

    private final Clock clock;
    private final Directory directory = new Directory(List.of(), List.of(), node -> {});
    private final LoadShiftingBalancer balancer;
    private final SecondTally tally = new SecondTally();
    private final Discovery discovery;
    private final ChangeDelays delays;
    private long version = -1;
    private double versionSinceMs;

    /**
     * @param from the address that it calls from, which tells its region
     * @param delays takes how long each change took to be in force here
     */
    HollowSidecar(
            EventLoop loop,
            InetSocketAddress from,
            InetSocketAddress server,
            long seed,
            ChangeDelays delays,
            Clock clock,
            Log log) {
        this.clock = clock;
        this.delays = delays;
        Bootstrap base = new Bootstrap()
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .localAddress(from);
        balancer = new LoadShiftingBalancer(HollowSettings.SETTINGS, seed, new IgnoredActions());
        discovery = new Discovery(loop, base, server, () -> null, -1, PATIENCE, this::update, clock, log);
        discovery.setTally(tally);
    }

    /** Begins to follow the list. On the event loop. */
    void start() {
        balancer.start(clock.nowMs());
        discovery.start();
    }

    /** Ends the second of the counts, as a sidecar does. On the event loop. */
    void endSecond() {
        tally.endSecond(clock.nowMs(), 0);
    }

    private void update(NodeListUpdate update) {
        ListKind kind = update.whole() ? ListKind.FULL : ListKind.DELTA;
        balancer.upstreams(clock.nowMs(), kind, directory.apply(update, clock.nowMs()));
        double nowMs = MonotonicTime.nowMs();
        version = update.seq();
        versionSinceMs = nowMs;
        if (!update.whole()) {
            update.entries().stream()
                    .mapToDouble(NodeListUpdate.Entry::startedMs)
                    .max()
                    .ifPresent(publishedMs -> delays.add(nowMs - publishedMs));
        }
    }

    /** The version of the list that is in force, or -1. */
    long version() {
        return version;
    }

    /** Since when it is, by {@link MonotonicTime}. */
    double versionSinceMs() {
        return versionSinceMs;
    }
}
