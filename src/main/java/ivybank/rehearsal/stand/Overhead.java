package ivybank.rehearsal.stand;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Addresses;
import ivybank.common.Clock;
import ivybank.rehearsal.latency.ArrivalSchedule;
import ivybank.rehearsal.latency.Disturbance;
import ivybank.rehearsal.latency.EchoNodes;
import ivybank.rehearsal.latency.LoadGenerator;
import ivybank.rehearsal.latency.NodeFaults;
import ivybank.rehearsal.latency.Observations;
import ivybank.rehearsal.latency.OverheadRun;
import ivybank.rehearsal.latency.RunSummary;
import ivybank.rehearsal.latency.VoidRule;
import ivybank.rehearsal.latency.WarmUpRule;
import ivybank.rehearsal.referee.Referee;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.scenario.Scenario.RequestClass;
import ivybank.rehearsal.stand.RosterServer.Entry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What a sidecar adds to the time of a call: a real sidecar between a {@link LoadGenerator} and {@link EchoNodes}, with
 * discovery beside it. Generator, nodes and discovery each have a thread of their own.
 */
public final class Overhead implements AutoCloseable {

    /**
     * What is set up.
     *
     * @param scenario brings kinds, the first safe class and limits; nothing of its traffic or faults is played
     * @param command starts a sidecar in {@code folder}
     * @param state for the sidecar's configuration and log
     * @param net 1 to 254, the second part of all addresses
     */
    public record Setup(
            Scenario scenario, String command, Path folder, Path state, int net, int nodes, Disturbance disturbance) {}

    /**
     * How long each run is.
     *
     * @param seconds that are measured, after the warm-up
     * @param seed of the arrivals; each run draws others
     */
    public record Length(WarmUpRule warmUp, double seconds, long seed) {}

    private static final long READY_MS = 30_000;
    private static final int HANGING = 0; // the number of the node that hangs
    private static final double NANOS_IN_S = 1e9;
    private static final double NANOS_IN_MS = 1e6;
    private static final double MS_IN_S = 1000;
    private static final int CPU_S = 2; // in what usage() gives

    private final Setup setup;
    private final MultiThreadIoEventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup rosters = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EchoNodes nodes;
    private final RosterServer roster;
    private final SidecarProcess sidecar;
    private final LoadGenerator generator;
    private final OverheadDisturber disturber;
    private int runs;

    /** Starts nodes, discovery and a sidecar, and waits until it is ready. */
    public Overhead(Setup setup) throws IOException, InterruptedException {
        this.setup = setup;
        World world =
                new World(setup.scenario, acceptor, rosters.next(), Clock.system(), new Referee(1, 1e9, 0), setup.net);
        nodes = new EchoNodes(addresses(), faults());
        List<Entry> listed = entries(0, setup.nodes, "n-", "Ready");
        roster = world.loop
                .submit(() -> {
                    RosterServer made = new RosterServer(world, 0);
                    made.change(listed);
                    return made;
                })
                .sync()
                .getNow();
        InetSocketAddress listen = Loopback.forSidecar(setup.net, 0);
        sidecar = new SidecarProcess(setup.scenario, 0, setup.command, setup.folder, setup.state, listen, 1);
        sidecar.configure(roster.address(), roster.known());
        sidecar.start();
        if (!sidecar.awaitReady(READY_MS)) {
            close();
            throw new IOException("the sidecar was not ready within " + READY_MS / 1000 + " s: see " + setup.state);
        }
        RequestClass safe = setup.scenario.classes().get(0);
        generator = new LoadGenerator(listen, yardsticks(), safe.name(), (long) safe.deadlineMs());
        disturber = new OverheadDisturber(setup.disturbance, sidecar, this::changeList);
    }

    /** The nodes' addresses, and those of the nodes that a change of the list brings. */
    private List<InetSocketAddress> addresses() {
        int count = setup.nodes + (setup.disturbance == Disturbance.LIST_CHANGE ? Disturbance.CHANGED_NODES : 0);
        List<InetSocketAddress> wanted = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            wanted.add(NodeServer.address(setup.net, i));
        }
        return wanted;
    }

    private NodeFaults faults() {
        return switch (setup.disturbance) {
            case BAD_ANSWERS -> new NodeFaults(Disturbance.BAD_PART, Disturbance.BAD_PART, 1);
            case SECOND_ANSWERS -> NodeFaults.secondAnswers(Disturbance.SECOND_PART, 1);
            default -> NodeFaults.none();
        };
    }

    /** Second answers that nodes have begun so far, and those that they left out as too late. */
    public String secondAnswers() {
        return nodes.secondAnswers() + " second answers, " + nodes.lateSecondAnswers() + " left out as too late";
    }

    private List<Entry> entries(int from, int until, String prefix, String health) {
        List<Entry> entries = new ArrayList<>();
        for (int i = from; i < until; i++) {
            String dial = Addresses.text(nodes.addresses().get(i));
            String site = "site-" + i % setup.scenario.fleet().sites();
            String kind = setup.scenario.kinds().get(0).name();
            entries.add(new Entry(prefix + i, dial, site, kind, health, 0));
        }
        return entries;
    }

    /** The nodes that direct requests go to: all that answer. */
    private List<InetSocketAddress> yardsticks() {
        int from = setup.disturbance == Disturbance.HANGING_NODE ? HANGING + 1 : 0;
        return nodes.addresses().subList(from, setup.nodes);
    }

    /** Discovery tells of many nodes that have come, under names of their own, or that are gone. */
    private void changeList(int round) {
        boolean come = round % 2 == 0;
        String prefix = "extra-" + round / 2 + "-";
        List<Entry> changed = entries(setup.nodes, nodes.addresses().size(), prefix, come ? "Ready" : "Gone");
        rosters.next().execute(() -> roster.change(changed));
    }

    /**
     * Plays one run on the thread that calls: a warm-up, then what is measured.
     *
     * @param ratePerS requests a second through the sidecar, and as many direct ones
     */
    public OverheadRun play(double ratePerS, Length length) throws IOException {
        runs++;
        if (setup.disturbance == Disturbance.HANGING_NODE) {
            nodes.hang(HANGING);
        }
        double warmUpS = length.warmUp.seconds(ratePerS);
        ArrivalSchedule schedule = ArrivalSchedule.draw(ratePerS, warmUpS + length.seconds, length.seed + runs);
        double cpuBeforeS = cpuS();
        disturber.begin(warmUpS);
        StolenTime stolenTime = StolenTime.begin();
        Observations seen = generator.play(schedule);
        double stolenPart = stolenTime.part();
        disturber.end();
        double cpuMs = MS_IN_S * (cpuS() - cpuBeforeS) / schedule.pairCount();
        long measuredNs = (long) (warmUpS * NANOS_IN_S);
        RunSummary warmUp = RunSummary.of(seen, 0, measuredNs);
        RunSummary measured = RunSummary.of(seen, measuredNs, Long.MAX_VALUE);
        Optional<String> reason = VoidRule.STANDARD.reason(measured);
        long allowedNs = (long) (VoidRule.STANDARD.allowedMs() * NANOS_IN_MS);
        RunSummary punctual = RunSummary.ofPunctual(seen, measuredNs, Long.MAX_VALUE, allowedNs);
        return new OverheadRun(runs, warmUpS, warmUp, measured, punctual, cpuMs, stolenPart, reason);
    }

    private double cpuS() throws IOException {
        double[] usage = sidecar.usage();
        if (usage == null) {
            throw new IOException("the sidecar has ended: see " + setup.state);
        }
        return usage[CPU_S];
    }

    @Override
    public void close() throws IOException {
        if (disturber != null) {
            disturber.close();
        }
        if (generator != null) {
            generator.close();
        }
        sidecar.kill();
        nodes.close();
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        rosters.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
