package ivybank.rehearsal.stand;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Clock;
import ivybank.rehearsal.referee.Referee;
import ivybank.rehearsal.referee.Returns;
import ivybank.rehearsal.referee.Service;
import ivybank.rehearsal.referee.Views;
import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.Plan.Arrival;
import ivybank.rehearsal.scenario.Scenario;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * One run of a scenario from its drawn plan: starts stand-in nodes, discovery servers and sidecars, sends the clients'
 * requests, injects the faults at their times and ends all that it started. An instance runs once.
 */
public final class ScenarioRun implements AutoCloseable {

    /** What happened, for people. {@code atMs}: since the beginning of the run, here and in all that follows. */
    public record Event(double atMs, String what) {}

    /** The state of a node from an instant on, in a word. */
    public record NodeState(double atMs, String host, String state) {}

    /** What the process of a sidecar used at an instant: memory in MB, descriptors, CPU seconds since its start. */
    public record Usage(double atMs, int sidecar, double memoryMb, double descriptors, double cpuS) {}

    /**
     * The result of a run. Connections, attempts and attempts given up are those that nodes saw.
     *
     * @param latenessMs the most that the stand-ins themselves were late
     * @param mostPushed the most that a cold node was pushed
     * @param readyAfterMs for each start of a sidecar, until it was ready
     * @param views what the sidecars saw of one another; null where they know of no others
     * @param betweenSidecars datagrams that came, their bytes, datagrams that did not come, and forgeries
     * @param returns how sidecars that were started in the course of the run came back, and what that cost others
     * @param starvedMs the longest that an event loop of a sidecar waited for a core within half a second
     */
    public record Result(
            Plan plan,
            Service service,
            Referee referee,
            List<Event> events,
            List<NodeState> states,
            List<Usage> usage,
            double latenessMs,
            double mostPushed,
            List<Double> readyAfterMs,
            long connections,
            Map<String, Long> attemptsOf,
            long givenUp,
            Views views,
            long[] betweenSidecars,
            Returns returns,
            double starvedMs) {

        /** Attempts at all nodes. */
        public long attempts() {
            return attemptsOf.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    private static final AtomicInteger NETS =
            new AtomicInteger((int) (ProcessHandle.current().pid() % 200));
    private static final int FIRST_NET = 20;
    private static final int MAX_NETS = 200;
    private static final long PROGRESS_EVERY_MS = 1000;
    private static final long UNFINISHED_TRIES_INTERVAL_MS = 20;
    private static final long SETTLE_MS = 500;
    private static final long WORKERS_END_S = 5;

    private final Plan plan;
    private final Scenario scenario;
    private final String command;
    private final Path folder;
    private final Path state;
    private final Consumer<String> progress;
    private final MultiThreadIoEventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService workers = Executors.newCachedThreadPool(); // ended by close
    private final AtomicBoolean closed = new AtomicBoolean();
    private final Service service;
    private final World world;
    private final RunContext run;
    private final NodeGroup nodes;
    private final SidecarGroup sidecars;
    private final PeerViews peers;
    private final SidecarFaults sidecarFaults;

    /**
     * @param command starts a sidecar, by /bin/sh in {@code folder}
     * @param state an empty folder for configurations and logs
     * @param progress takes a line for people each second
     */
    public ScenarioRun(Plan plan, String command, Path folder, Path state, Consumer<String> progress) {
        this.plan = plan;
        this.scenario = plan.scenario();
        this.command = command;
        this.folder = folder;
        this.state = state;
        this.progress = progress;
        Referee referee = new Referee(
                scenario.traffic().sidecars(),
                scenario.rules().drainGraceMs(),
                scenario.rules().marginMs());
        service = new Service(scenario.classes(), scenario.lengthS());
        int net = FIRST_NET + NETS.getAndIncrement() % MAX_NETS;
        world = new World(scenario, acceptor, group.next(), Clock.system(), referee, net);
        run = new RunContext(plan, world, referee, workers);
        sidecars = new SidecarGroup(run, state);
        nodes = new NodeGroup(run, sidecars.discoveryServers());
        peers = new PeerViews(run, sidecars.processes());
        sidecarFaults = new SidecarFaults(run, sidecars, peers);
    }

    /** Runs the scenario; returns when the last request is over. */
    public Result run() throws IOException, InterruptedException {
        run.onLoop(nodes::start);
        sidecars.create(nodes, service, command, folder);
        if (peers.on()) {
            peers.place(state);
            sidecars.configureAll();
        }
        sidecars.startAll();
        run.onLoop(this::begin);
        awaitEnd();
        awaitUnfinishedTries();
        run.onLoop(() -> nodes.all().forEach(run.recorder::pushed));
        run.onLoop(peers::end);
        return result();
    }

    private void begin() {
        world.begin();
        if (peers.on()) {
            for (int i = 0; i < sidecars.size(); i++) {
                if (!sidecars.startsLate(i)) {
                    peers.process(i, Views.Process.ON, 0, "start");
                }
            }
            peers.watch(closed::get);
        }
        for (Arrival arrival : plan.arrivals()) {
            world.at(arrival.atMs(), () -> sidecars.client(arrival.sidecar()).arrive(arrival));
        }
        scheduleRudeClients();
        new FaultInjector(run, nodes, sidecars, sidecarFaults).schedule();
        new ProcessMonitor(run, sidecars).start();
    }

    /** Clients that break the protocol, one for each so many arrivals. */
    private void scheduleRudeClients() {
        int count = 0;
        for (Arrival arrival : plan.arrivals()) {
            if (Math.floor(arrival.number() * scenario.clients().rubbish()) > count) {
                int number = count++;
                int sidecar = arrival.sidecar();
                world.at(
                        arrival.atMs(),
                        () -> RudeClient.come(
                                world,
                                sidecar,
                                sidecars.process(sidecar).listen(),
                                number,
                                () -> sidecars.stops().totalMs(sidecar, world.nowMs())));
            }
        }
    }

    private void awaitEnd() throws InterruptedException {
        double lengthMs = scenario.lengthS() * 1000;
        for (double nowMs = nowMs(); nowMs < lengthMs; nowMs = nowMs()) {
            progress.accept(String.format(
                    Locale.ROOT, "%.0f of %.0f s, %s", nowMs / 1000, scenario.lengthS(), run.recorder.lastEvent()));
            Thread.sleep((long) Math.min(PROGRESS_EVERY_MS, Math.max(1, lengthMs - nowMs)));
        }
    }

    private double nowMs() throws InterruptedException {
        return run.callOnLoop(world::nowMs);
    }

    /**
     * Waits until no client has a call open or is going to try again: the sidecars are killed afterwards, and a call that is
     * open then is lost. Each ends by its client's patience.
     */
    private void awaitUnfinishedTries() throws InterruptedException {
        while (run.callOnLoop(sidecars::unfinishedTries) > 0) {
            Thread.sleep(UNFINISHED_TRIES_INTERVAL_MS);
        }
        Thread.sleep(SETTLE_MS);
    }

    private Result result() {
        RunRecorder recorder = run.recorder;
        return new Result(
                plan,
                service,
                run.referee,
                recorder.events(),
                recorder.nodeStates(),
                recorder.usage(),
                world.latenessMs(),
                recorder.mostPushed(),
                recorder.readyAfterMs(),
                world.connections(),
                world.attempts(),
                world.givenUp(),
                peers.views(),
                peers.datagramCounts(),
                world.returns,
                recorder.starvedMs());
    }

    /** Ends all that it started; the second time it does nothing. */
    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        workers.shutdownNow();
        try {
            // Or a sidecar that is being started again would outlive this.
            workers.awaitTermination(WORKERS_END_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        sidecars.processes().forEach(SidecarProcess::kill);
        sidecarFaults.close();
        peers.close();
        run.loop.execute(() -> nodes.all().forEach(NodeServer::end));
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
