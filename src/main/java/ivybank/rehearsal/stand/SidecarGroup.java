package ivybank.rehearsal.stand;

import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.rehearsal.referee.Service;
import ivybank.rehearsal.referee.Views;
import ivybank.rehearsal.scenario.Plan.Target;
import ivybank.rehearsal.scenario.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The sidecars of a run, each with its discovery server and its client application: their starts and their ends. */
final class SidecarGroup {

    private static final long READY_MS = 30_000;
    /** A client keeps at most the descriptors of its sidecar, divided by this, in connections to it. */
    private static final int SOCKETS_PER_CONNECTION = 3;

    private static final long SEEDS_APART = 31;
    /** New connections go on coming for so long after a sidecar was told to end (protocol, figures). */
    private static final double CONNECTS_AFTER_TERM_MS = 400;
    /** More of them take one another's cores for no gain. */
    private static final int STARTS_AT_ONCE = 8;

    private final RunContext run;
    private final Path folder;
    private final List<SidecarProcess> processes = new ArrayList<>();
    private final List<RosterServer> discovery = new ArrayList<>();
    private final List<ClientApp> clients = new ArrayList<>();
    /** By number, NaN while a sidecar is up and was not told to end. */
    private final List<Double> downSinceMs = new ArrayList<>();

    private final StopTimes stops = new StopTimes();

    /** By number, infinite while a sidecar was not told to end. */
    private final List<Double> toldToEndMs = new ArrayList<>();

    private final Set<Integer> startedLate = new HashSet<>();

    /** @param folder an empty one for configurations and logs */
    SidecarGroup(RunContext run, Path folder) {
        this.run = run;
        this.folder = folder;
        for (Target target : run.plan.targets()) {
            if (target.fault().kind() == Scenario.FaultKind.JOIN) {
                startedLate.addAll(target.members());
            }
        }
    }

    /** Makes all sidecars, without starting them. Not called on the event loop. */
    void create(NodeGroup nodes, Service service, String command, Path workingFolder)
            throws IOException, InterruptedException {
        for (int i = 0; i < run.scenario.traffic().sidecars(); i++) {
            create(i, nodes, service, command, workingFolder);
        }
    }

    private void create(int number, NodeGroup nodes, Service service, String command, Path workingFolder)
            throws IOException, InterruptedException {
        RosterServer server = run.callOnLoop(() -> {
            RosterServer made = new RosterServer(run.world, number);
            nodes.listAt(made);
            return made;
        });
        discovery.add(server);
        Path own = Files.createDirectories(folder.resolve("sidecar-" + number));
        SidecarProcess sidecar = new SidecarProcess(
                run.scenario,
                number,
                command,
                workingFolder,
                own,
                Loopback.forSidecar(run.world.net, number),
                run.plan.seed() * SEEDS_APART + number);
        processes.add(sidecar);
        toldToEndMs.add(Double.POSITIVE_INFINITY);
        downSinceMs.add(startedLate.contains(number) ? Double.NEGATIVE_INFINITY : Double.NaN);
        configure(number);
        clients.add(new ClientApp(
                run.world,
                number,
                sidecar.listen(),
                run.scenario.limits().sockets() / SOCKETS_PER_CONNECTION,
                service,
                atMs -> downSinceMs.get(number) <= atMs,
                atMs -> toldToEndMs.get(number) + CONNECTS_AFTER_TERM_MS < atMs));
    }

    /** Writes a sidecar's configuration. */
    void configure(int number) throws IOException {
        RosterServer server = discovery.get(number);
        processes.get(number).configure(server.address(), server.known());
    }

    void configureAll() throws IOException {
        for (int i = 0; i < processes.size(); i++) {
            configure(i);
        }
    }

    /** Starts all but those that join later, some at a time, and waits until they are ready. */
    void startAll() throws IOException, InterruptedException {
        List<SidecarProcess> starting = new ArrayList<>();
        for (int i = 0; i < processes.size(); i++) {
            if (!startsLate(i)) {
                processes.get(i).start();
                starting.add(processes.get(i));
            }
            if (starting.size() == STARTS_AT_ONCE || i == processes.size() - 1) {
                for (SidecarProcess each : starting) {
                    awaitReady(each);
                }
                starting.clear();
            }
        }
    }

    private void awaitReady(SidecarProcess sidecar) throws IOException, InterruptedException {
        long from = System.nanoTime();
        if (!sidecar.awaitReady(READY_MS)) {
            throw new IOException(sidecar + " was not ready within " + READY_MS / 1000 + " s: see " + folder);
        }
        run.recorder.started((System.nanoTime() - from) / 1e6);
    }

    /** Starts a sidecar in the course of the run, for the first time or again. Called on a worker. */
    void start(int number, PeerViews peers) {
        SidecarProcess sidecar = processes.get(number);
        try {
            RosterServer server = discovery.get(number);
            String address = run.callOnLoop(server::address);
            ObjectNode known = run.callOnLoop(server::known);
            sidecar.configure(address, known);
            run.onLoop(() -> {
                run.referee.startedAnew(number);
                server.processStarted();
                run.world.returns.started(number, run.world.nowMs());
                peers.process(number, Views.Process.BETWEEN, "start of sidecar " + number);
            });
            long from = System.nanoTime();
            sidecar.start();
            boolean ready = sidecar.awaitReady(READY_MS);
            double tookMs = (System.nanoTime() - from) / 1e6;
            run.onLoop(() -> started(number, ready, tookMs, peers));
        } catch (IOException e) {
            run.eventFromWorker("sidecar " + number + " could not be started again: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void started(int number, boolean ready, double tookMs, PeerViews peers) {
        run.recorder.started(tookMs);
        if (!processes.get(number).isExpectedToEnd()) { // it may have been ended while it started
            up(number);
        }
        if (ready) {
            run.world.returns.ready(number, run.world.nowMs());
        }
        peers.process(number, Views.Process.ON, "sidecar " + number + " is ready");
        run.recorder.event("sidecar " + number + (ready ? " is ready again after " : " is not ready after ")
                + Math.round(tookMs) + " ms");
    }

    int size() {
        return processes.size();
    }

    SidecarProcess process(int number) {
        return processes.get(number);
    }

    RosterServer discovery(int number) {
        return discovery.get(number);
    }

    ClientApp client(int number) {
        return clients.get(number);
    }

    /** All processes, those that are made later too. */
    List<SidecarProcess> processes() {
        return processes;
    }

    /** All discovery servers, those that are made later too. */
    List<RosterServer> discoveryServers() {
        return discovery;
    }

    /** Whether a sidecar is started in the course of the run alone. */
    boolean startsLate(int number) {
        return startedLate.contains(number);
    }

    /** From now on what a sidecar does not answer is nobody's fault. */
    void down(int number) {
        downSinceMs.set(number, run.world.nowMs());
    }

    void up(int number) {
        downSinceMs.set(number, Double.NaN);
        toldToEndMs.set(number, Double.POSITIVE_INFINITY);
    }

    /** It has just been sent SIGTERM. */
    void toldToEnd(int number) {
        toldToEndMs.set(number, run.world.nowMs());
    }

    boolean isUp(int number) {
        return Double.isNaN(downSinceMs.get(number));
    }

    /** Returns for how long sidecars have been stopped by signals. */
    StopTimes stops() {
        return stops;
    }

    double downSinceMs(int number) {
        return downSinceMs.get(number);
    }

    /** Returns how many tries of clients are not over, or have not begun yet. */
    int unfinishedTries() {
        return clients.stream().mapToInt(ClientApp::unfinishedTries).sum();
    }
}
