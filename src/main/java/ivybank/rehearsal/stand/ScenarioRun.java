package ivybank.rehearsal.stand;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Addresses;
import ivybank.common.Clock;
import ivybank.common.FleetDoor;
import ivybank.rehearsal.referee.Referee;
import ivybank.rehearsal.referee.Returns;
import ivybank.rehearsal.referee.Service;
import ivybank.rehearsal.referee.Views;
import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.Plan.Arrival;
import ivybank.rehearsal.scenario.Plan.NodeSpec;
import ivybank.rehearsal.scenario.Plan.Target;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.scenario.Scenario.Fault;
import ivybank.rehearsal.scenario.Scenario.Ways;
import ivybank.rehearsal.stand.RosterServer.Entry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Plays one drawn day: starts nodes, roster and sidecars, sends the clients' requests, brings about the faults at their
 * times and ends all that it started. One instance plays once.
 */
public final class ScenarioRun implements AutoCloseable {

    /** What happened when, for people; times in ms of the day. */
    public record Event(double atMs, String what) {}

    /** What a node is from a time of the day on, in a word. */
    public record NodeState(double atMs, String host, String state) {}

    /** Memory in MB, descriptors and CPU seconds of a sidecar's process at a time of the day. */
    public record Usage(double atMs, int sidecar, double memoryMb, double descriptors, double cpuS) {}

    /**
     * What a day came to; connections, attempts and attempts given up are those that nodes saw. {@code views} is null where
     * sidecars know of no others; {@code betweenSidecars}: datagrams that came, their bytes, those that did not, and forgeries;
     * {@code returns}: how processes that were started in the course of the day came back, and what that cost others;
     * {@code starvedMs}: the longest that one of a sidecar's event loops waited for a core within half a second.
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
    private static final long READY_MS = 30_000;
    private static final double END_AFTER_TERM_MS = 700;
    private static final double LONGEST_DEADLINE_MS = 3000;
    private static final double REJECT_AFTER_MS = 2500; // a drained node finishes what it has, then wants nothing new
    private static final double USAGE_EVERY_MS = 500;
    private static final double SETTLE_MS = 500;
    private static final long LOOK_EVERY_MS = 100;

    private final Plan plan;
    private final Scenario scenario;
    private final String command;
    private final Path folder;
    private final Path state;
    private final Consumer<String> progress;
    private final MultiThreadIoEventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ExecutorService hands = Executors.newCachedThreadPool(); // waits for processes; ended by close
    private final Referee referee;
    private final Service service;
    private final World world;
    private final Map<String, NodeServer> nodes = new LinkedHashMap<>();
    private final Map<String, NodeSpec> specs = new LinkedHashMap<>();
    private final List<RosterServer> rosters = new ArrayList<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<ClientApp> clients = new ArrayList<>();
    private final List<String> members = new ArrayList<>(); // by number, the node that stands there now
    private final Set<String> gone = new HashSet<>();
    private final List<Double> downSinceMs = new ArrayList<>(); // NaN while a sidecar is up and not told to end
    private final List<Event> events = new ArrayList<>();
    private final List<NodeState> states = new ArrayList<>();
    private final List<Usage> usage = new ArrayList<>();
    private final List<Double> readyAfterMs = new ArrayList<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final Set<Integer> late = new HashSet<>(); // sidecars that are started in the course of the day
    private final Views views; // null: sidecars know of no others
    private PeerRelay relay;
    private final WayFaults wayFaults;
    private final List<Process> twins = new ArrayList<>();
    private int nodesMade;
    private double mostPushed;
    private double starvedMs; // the most that a sidecar's event loop waited for a core in half a second

    /**
     * @param command starts a sidecar, by /bin/sh in {@code folder}
     * @param state an empty folder for configurations and logs
     */
    public ScenarioRun(Plan plan, String command, Path folder, Path state, Consumer<String> progress) {
        this.plan = plan;
        this.scenario = plan.scenario();
        this.command = command;
        this.folder = folder;
        this.state = state;
        this.progress = progress;
        referee = new Referee(
                scenario.traffic().sidecars(),
                scenario.rules().drainGraceMs(),
                scenario.rules().marginMs());
        service = new Service(scenario.classes(), scenario.lengthS());
        Scenario.Peers peers = scenario.peers();
        views = peers.on()
                ? new Views(scenario.traffic().sidecars(), peers.knowS() * 1000, peers.settleS() * 1000)
                : null;
        wayFaults = new WayFaults(scenario.traffic().sidecars());
        for (Target target : plan.targets()) {
            if (target.fault().kind() == Scenario.FaultKind.JOIN) {
                late.addAll(target.members());
            }
        }
        world = new World(scenario, acceptor, loop, Clock.system(), referee, 20 + NETS.getAndIncrement() % 200);
    }

    /** Runs the scenario; returns when the last request is over. */
    public Result run() throws IOException, InterruptedException {
        onLoop(this::startNodes);
        for (int i = 0; i < scenario.traffic().sidecars(); i++) {
            makeSidecar(i);
        }
        if (views != null) {
            placeAmongPeers();
        }
        for (int i = 0; i < sidecars.size(); i++) {
            if (!late.contains(i)) {
                sidecars.get(i).start();
            }
        }
        for (int i = 0; i < sidecars.size(); i++) {
            if (late.contains(i)) {
                continue;
            }
            SidecarProcess sidecar = sidecars.get(i);
            long from = System.nanoTime();
            if (!sidecar.awaitReady(READY_MS)) {
                throw new IOException(sidecar + " was not ready within " + READY_MS / 1000 + " s: see " + state);
            }
            readyAfterMs.add((System.nanoTime() - from) / 1e6);
        }
        onLoop(this::begin);
        double lengthMs = scenario.lengthS() * 1000;
        for (double nowMs = onLoopNow(); nowMs < lengthMs; nowMs = onLoopNow()) {
            progress.accept(String.format(
                    Locale.ROOT,
                    "%.0f of %.0f s, %s",
                    nowMs / 1000,
                    scenario.lengthS(),
                    events.isEmpty()
                            ? "nothing has gone wrong yet"
                            : events.get(events.size() - 1).what()));
            Thread.sleep((long) Math.min(1000, Math.max(1, lengthMs - nowMs)));
        }
        awaitRest();
        onLoop(() -> nodes.values().forEach(node -> mostPushed = Math.max(mostPushed, node.pushed())));
        if (views != null) {
            onLoop(() -> views.end(world.nowMs()));
        }
        return new Result(
                plan,
                service,
                referee,
                List.copyOf(events),
                List.copyOf(states),
                List.copyOf(usage),
                world.latenessMs(),
                mostPushed,
                List.copyOf(readyAfterMs),
                world.connections(),
                world.attempts(),
                world.givenUp(),
                views,
                relay == null ? new long[4] : relay.counts(),
                world.returns,
                starvedMs);
    }

    private void onLoop(Runnable task) throws InterruptedException {
        loop.submit(task).sync();
    }

    private double onLoopNow() throws InterruptedException {
        return loop.submit(world::nowMs).sync().getNow();
    }

    /** What is still open when the day is over ends by its own patience. */
    private void awaitRest() throws InterruptedException {
        while (loop.submit(() -> clients.stream().mapToInt(ClientApp::openTries).sum())
                        .sync()
                        .getNow()
                > 0) {
            Thread.sleep(20);
        }
        Thread.sleep((long) SETTLE_MS);
    }

    private void startNodes() {
        for (NodeSpec spec : plan.nodes()) {
            members.add(spec.host());
            addNode(spec, false, NodeServer.address(world.net, nodesMade));
        }
    }

    private NodeServer addNode(NodeSpec spec, boolean cold, InetSocketAddress address) {
        NodeModel model = new NodeModel(
                spec.kind(),
                spec.speed(),
                scenario.cold(),
                scenario.choke(),
                cold ? world.nowMs() : Double.NEGATIVE_INFINITY);
        NodeServer node = new NodeServer(
                world,
                spec.host(),
                spec.site(),
                model,
                spec.kind().connections(),
                spec.kind().connectMs(),
                address,
                cold,
                plan.seed() + ++nodesMade);
        nodes.put(spec.host(), node);
        state(node);
        if (cold) {
            world.after(scenario.cold().warmS() * 1000, () -> state(node));
        }
        specs.put(spec.host(), spec);
        return node;
    }

    private void makeSidecar(int number) throws IOException, InterruptedException {
        RosterServer roster = loop.submit(() -> {
                    RosterServer made = new RosterServer(world, number);
                    nodes.keySet().forEach(host -> made.change(entry(host, "Ready")));
                    return made;
                })
                .sync()
                .getNow();
        rosters.add(roster);
        Path own = Files.createDirectories(state.resolve("sidecar-" + number));
        SidecarProcess sidecar = new SidecarProcess(
                scenario,
                number,
                command,
                folder,
                own,
                Loopback.forSidecar(world.net, number),
                plan.seed() * 31 + number);
        sidecars.add(sidecar);
        downSinceMs.add(Double.NaN);
        sidecar.configure(roster.address(), roster.known());
        if (late.contains(number)) {
            downSinceMs.set(number, Double.NEGATIVE_INFINITY);
        }
        ClientApp client = new ClientApp(
                world,
                number,
                sidecar.listen(),
                scenario.limits().sockets() / 3,
                service,
                atMs -> downSinceMs.get(number) <= atMs);
        clients.add(client);
    }

    /** Addresses for each of the others, all by way of the relay, and some that nobody ever has. */
    private void placeAmongPeers() throws IOException, InterruptedException {
        Path keys = Files.writeString(
                        state.resolve("fleet.key"), "6b6579206f66207468652072656865617273616c20666c656574\n")
                .toAbsolutePath();
        List<InetSocketAddress> real = new ArrayList<>();
        for (int i = 0; i < sidecars.size(); i++) {
            real.add(Loopback.forPeers(world.net, i));
        }
        relay = new PeerRelay(world, real, wayFaults, plan.seed());
        for (int i = 0; i < sidecars.size(); i++) {
            List<String> addresses = new ArrayList<>();
            for (int other = 0; other < sidecars.size(); other++) {
                addresses.add(relay.address(other, i));
            }
            for (int never = 0; never < scenario.peers().never(); never++) {
                addresses.add("127." + world.net + ".219." + (1 + never) + ":7946");
            }
            sidecars.get(i)
                    .among(new SidecarProcess.PeerPlace(
                            addresses.get(i), addresses, Loopback.forDoor(world.net, i), keys));
            RosterServer roster = rosters.get(i);
            sidecars.get(i).configure(roster.address(), roster.known());
        }
    }

    /** Looks at each view again and again, each sidecar by a thread of its own, for as long as the day lasts. */
    private void watchViews() {
        for (int i = 0; i < sidecars.size(); i++) {
            int number = i;
            hands.execute(() -> {
                while (!closed.get()) {
                    JsonNode view = sidecars.get(number).view();
                    if (view != null) {
                        loop.execute(() -> views.looked(look(number, view)));
                    }
                    try {
                        Thread.sleep(LOOK_EVERY_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
        }
    }

    private Views.Look look(int by, JsonNode view) {
        Map<Integer, Long> living = new HashMap<>();
        Map<Integer, Long> ended = new HashMap<>();
        for (JsonNode member : view.path("members")) {
            (FleetDoor.lives(member) ? living : ended)
                    .put(member.path("seat").asInt(), member.path("life").asLong());
        }
        return new Views.Look(world.nowMs(), by, view.path("digest").asText(), living, ended);
    }

    private void process(int sidecar, Views.Process now, String what) {
        if (views != null) {
            views.process(sidecar, now, world.nowMs(), what);
        }
    }

    private void fault(Ways ways, boolean on, String what) {
        wayFaults.set(ways, on);
        boolean[][] open = new boolean[sidecars.size()][sidecars.size()];
        for (int a = 0; a < open.length; a++) {
            for (int b = 0; b < open.length; b++) {
                open[a][b] = a == b || wayFaults.open(a, b);
            }
        }
        views.ways(open, world.nowMs(), what);
    }

    private Entry entry(String host, String health) {
        NodeServer node = nodes.get(host);
        NodeSpec spec = specs.get(host);
        return new Entry(host, node.dial(), spec.site(), spec.kind().name(), health, node.bornUnixMs());
    }

    private void begin() {
        world.begin();
        if (views != null) {
            for (int i = 0; i < sidecars.size(); i++) {
                if (!late.contains(i)) {
                    views.process(i, Views.Process.ON, 0, "start");
                }
            }
            watchViews();
        }
        for (Arrival arrival : plan.arrivals()) {
            world.at(arrival.atMs(), () -> clients.get(arrival.sidecar()).arrive(arrival));
        }
        int rude = 0;
        for (Arrival arrival : plan.arrivals()) {
            if (Math.floor(arrival.number() * scenario.clients().rubbish()) > rude) {
                int number = rude++;
                world.at(
                        arrival.atMs(),
                        () -> RudeClient.come(
                                world,
                                arrival.sidecar(),
                                sidecars.get(arrival.sidecar()).listen(),
                                number));
            }
        }
        for (Target target : plan.targets()) {
            world.at(target.fault().atS() * 1000, () -> strike(target));
        }
        watchProcesses();
    }

    private void watchProcesses() {
        for (int i = 0; i < sidecars.size(); i++) {
            SidecarProcess sidecar = sidecars.get(i);
            if (sidecar.started() && sidecar.crashed() && Double.isNaN(downSinceMs.get(i))) {
                downSinceMs.set(i, world.nowMs());
                referee.crashed(i, sidecar.exitCode(), world.nowMs());
            }
            if (sidecar.started() && sidecar.alive() && Double.isNaN(downSinceMs.get(i))) {
                starvedMs = Math.max(starvedMs, sidecar.starvedMs());
            }
            double[] now = sidecar.started() && sidecar.alive() ? sidecar.usage() : null;
            if (now != null) {
                usage.add(new Usage(world.nowMs(), i, now[0], now[1], now[2]));
                if (now[0] > scenario.limits().memoryMb()) {
                    event(String.format(
                            Locale.ROOT,
                            "sidecar %d holds %.0f MB of memory, %d are allowed: it is killed",
                            i,
                            now[0],
                            scenario.limits().memoryMb()));
                    sidecar.killForMemory();
                }
            }
        }
        world.after(USAGE_EVERY_MS, this::watchProcesses);
    }

    private void state(NodeServer node) {
        states.add(new NodeState(world.nowMs(), node.host(), node.condition()));
    }

    private void event(String what) {
        events.add(new Event(world.nowMs(), what));
    }

    // ---- Faults.

    private void strike(Target target) {
        Fault fault = target.fault();
        List<NodeServer> hit = new ArrayList<>();
        if (!fault.kind().ofSidecars()) {
            target.members().forEach(member -> hit.add(nodes.get(members.get(member))));
        }
        switch (fault.kind()) {
            case SILENT ->
                whileOn(
                        fault,
                        hit.size() + " nodes accept and answer nothing",
                        on -> hit.forEach(node -> {
                            node.silent(on);
                            state(node);
                        }));
            case SLOW ->
                whileOn(
                        fault,
                        "a neighbour takes " + Math.round(100 * fault.size()) + "% of " + hit.size() + " nodes",
                        on -> hit.forEach(node -> {
                            node.neighbour(on ? fault.size() : 0);
                            state(node);
                        }));
            case SPOIL ->
                whileOn(
                        fault,
                        Math.round(100 * fault.size()) + "% of the answers of " + hit.size() + " nodes are spoilt",
                        on -> hit.forEach(node -> {
                            node.spoil(on ? fault.size() : 0);
                            state(node);
                        }));
            case BREAK ->
                whileOn(
                        fault,
                        Math.round(100 * fault.size()) + "% of the exchanges with " + hit.size()
                                + " nodes are broken in between",
                        on -> hit.forEach(node -> {
                            node.broken(on ? fault.size() : 0);
                            state(node);
                        }));
            case REPLACE -> {
                event(hit.size() + " nodes are replaced at their addresses");
                target.members().forEach(member -> replaceInPlace(fault, member));
            }
            case DIE -> {
                event(hit.size() + " nodes die");
                hit.forEach(node -> {
                    node.end();
                    state(node);
                    announce(node.host(), "Gone");
                });
            }
            case VANISH -> {
                event(hit.size() + " nodes are cut off");
                hit.forEach(node -> {
                    node.cutOff();
                    state(node);
                    announce(node.host(), "Gone");
                });
            }
            case DEPLOY -> deploy(fault, target.members());
            case KILL, TERM -> restart(fault, target.members());
            case ROSTER_SILENT ->
                whileOn(
                        fault,
                        "the roster says nothing to " + target.members().size() + " sidecars",
                        on -> target.members()
                                .forEach(member -> rosters.get(member).silent(on)));
            case ROSTER_ODD -> {
                event("the roster sends a line that can't be read to "
                        + target.members().size() + " sidecars");
                target.members().forEach(member -> rosters.get(member).odd());
            }
            case ROSTER_HUSH -> {
                event("the watches of " + target.members().size() + " sidecars fall silent");
                target.members().forEach(member -> rosters.get(member).hush());
            }
            case ROSTER_OLD -> {
                event("the roster moves to an address that is " + fault.size() + " s behind");
                target.members().forEach(member -> rosters.get(member).fallBehind(fault.size() * 1000));
                target.members().forEach(this::moveRoster);
            }
            case ROSTER_MOVE -> {
                event("the roster moves for " + target.members().size() + " sidecars");
                target.members().forEach(this::moveRoster);
            }
            case PARTITION, LINK -> between(fault, target.members());
            case FREEZE -> freeze(fault, target.members());
            case JOIN -> target.members().forEach(member -> hands.execute(() -> startNow(member)));
            case LOSE -> {
                event("sidecars " + target.members() + " are killed and stay away");
                target.members().forEach(member -> {
                    sidecars.get(member).expectEnd();
                    downSinceMs.set(member, world.nowMs());
                    process(member, Views.Process.OFF, "end of sidecar " + member);
                    hands.execute(sidecars.get(member)::kill);
                });
            }
            case TWICE -> twice(fault, target.members());
            case STORM -> {
                // What it is made of is struck by itself.
            }
        }
    }

    /** Ways between sidecars: named ones, or those that were drawn against all others. */
    private void between(Fault fault, List<Integer> drawn) {
        Ways ways = fault.ways();
        boolean partition = fault.kind() == Scenario.FaultKind.PARTITION;
        List<Integer> from = ways.from().isEmpty()
                ? drawn.stream().filter(each -> !ways.bridge().contains(each)).toList()
                : ways.from();
        List<Integer> to = new ArrayList<>(ways.to());
        for (int i = 0; i < sidecars.size() && ways.to().isEmpty(); i++) {
            if (!from.contains(i) && !ways.bridge().contains(i)) {
                to.add(i);
            }
        }
        Ways met = new Ways(from, to, ways.bridge(), ways.oneWay(), ways.quality());
        String what = partition
                ? "cut of sidecars " + from + " from " + to
                        + (ways.bridge().isEmpty() ? "" : ", bridged by " + ways.bridge())
                : (ways.quality().cut() ? "cut of" : "fault on") + " the ways from " + from + " to " + to
                        + (ways.oneWay() ? ", one way" : "");
        event(what);
        fault(met, true, what);
        world.after(fault.forS() * 1000, () -> {
            event("over: " + what);
            fault(met, false, "healed: " + what);
        });
    }

    /** What a stopped process did not do nobody blames on it, until its requests of that time are over. */
    private void freeze(Fault fault, List<Integer> hit) {
        event("sidecars " + hit + " are stopped");
        double deadlineMs = scenario.classes().stream()
                .mapToDouble(Scenario.RequestClass::deadlineMs)
                .max()
                .orElse(0);
        for (int member : hit) {
            SidecarProcess sidecar = sidecars.get(member);
            downSinceMs.set(member, world.nowMs());
            if (fault.forS() > scenario.peers().pauseS()) { // a shorter stop is none to the others
                process(member, Views.Process.BETWEEN, "stop of sidecar " + member);
            }
            signal(sidecar, "STOP");
            world.after(fault.forS() * 1000, () -> {
                event("sidecar " + member + " goes on");
                referee.wentOn(member, world.nowMs());
                signal(sidecar, "CONT");
                process(member, Views.Process.ON, "sidecar " + member + " goes on");
                double sinceMs = downSinceMs.get(member);
                world.after(deadlineMs, () -> {
                    if (downSinceMs.get(member) == sinceMs) {
                        downSinceMs.set(member, Double.NaN);
                    }
                });
            });
        }
    }

    private void signal(SidecarProcess sidecar, String name) {
        try {
            sidecar.signal(name);
        } catch (IOException e) {
            event(sidecar + " could not be sent " + name + ": " + e.getMessage());
        }
    }

    private void twice(Fault fault, List<Integer> hit) {
        for (int member : hit) {
            hands.execute(() -> {
                try {
                    Process twin = sidecars.get(member).startTwin();
                    loop.execute(() -> {
                        twins.add(twin);
                        event("sidecar " + member + " is started a second time");
                    });
                    boolean ended = twin.waitFor((long) (fault.forS() * 1000), TimeUnit.MILLISECONDS);
                    loop.execute(() -> event("the second sidecar " + member
                            + (ended ? " has ended with exit code " + twin.exitValue() : " runs: it is killed")));
                    twin.destroyForcibly();
                } catch (IOException e) {
                    loop.execute(() -> event("sidecar " + member + " could not be started twice: " + e.getMessage()));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    private void whileOn(Fault fault, String what, Consumer<Boolean> act) {
        event(what);
        act.accept(true);
        world.after(fault.forS() * 1000, () -> {
            event("over: " + what);
            act.accept(false);
        });
    }

    /** Each sidecar hears of a change at a time of its own. */
    private void announce(String host, String health) {
        if (gone.contains(host)) {
            return; // two faults met it: it does not come back
        }
        if (health.equals("Gone")) {
            gone.add(host);
        }
        Entry entry = entry(host, health);
        double[] notice = scenario.roster().noticeMs();
        for (int i = 0; i < rosters.size(); i++) {
            RosterServer roster = rosters.get(i);
            double part = rosters.size() == 1 ? 0.5 : (double) i / (rosters.size() - 1);
            world.after(notice[0] + part * (notice[1] - notice[0]), () -> roster.change(entry));
        }
    }

    /** Batches: drained, ended, and followed by a cold one, spread evenly over the time of the deploy. */
    private void deploy(Fault fault, List<Integer> hit) {
        int batch = Math.max(1, (int) Math.floor(fault.size() * plan.nodes().size()));
        int batches = (hit.size() + batch - 1) / batch;
        event("a deploy replaces " + hit.size() + " of " + plan.nodes().size() + " nodes, " + batch + " at a time");
        for (int b = 0; b < batches; b++) {
            List<Integer> now = hit.subList(b * batch, Math.min(hit.size(), (b + 1) * batch));
            world.after(fault.forS() * 1000 * b / batches, () -> now.forEach(member -> replace(fault, member)));
        }
        world.after(fault.forS() * 1000, () -> event("the deploy is over"));
    }

    private void replace(Fault fault, int member) {
        NodeSpec old = specs.get(members.get(member));
        NodeServer leaving = nodes.get(old.host());
        states.add(new NodeState(world.nowMs(), old.host(), "draining"));
        announce(old.host(), "Terminating");
        world.after(REJECT_AFTER_MS, () -> {
            leaving.reject();
            state(leaving);
        });
        world.after(fault.extra() * 1000, () -> {
            mostPushed = Math.max(mostPushed, leaving.pushed());
            leaving.end();
            state(leaving);
            announce(old.host(), "Gone");
            if (members.get(member).equals(old.host())) { // or another fault has brought its successor already
                succeed(old, member, "x", NodeServer.address(world.net, nodesMade));
            }
        });
    }

    private void succeed(NodeSpec old, int member, String mark, InetSocketAddress address) {
        NodeSpec next = new NodeSpec(old.host() + mark, old.kind(), old.site(), old.speed());
        members.set(member, next.host());
        addNode(next, true, address);
        announce(next.host(), "Ready");
    }

    /** What a sidecar sends to the old one, before it is told, meets the new one. */
    private void replaceInPlace(Fault fault, int member) {
        NodeSpec old = specs.get(members.get(member));
        NodeServer leaving = nodes.get(old.host());
        mostPushed = Math.max(mostPushed, leaving.pushed());
        leaving.end();
        state(leaving);
        announce(old.host(), "Gone");
        world.after(fault.size() * 1000, () -> {
            if (members.get(member).equals(old.host())) {
                succeed(old, member, "r", Addresses.parse(leaving.dial()));
            }
        });
    }

    private void moveRoster(int member) {
        RosterServer roster = rosters.get(member);
        SidecarProcess sidecar = sidecars.get(member);
        roster.move();
        String address = roster.address();
        var known = roster.known();
        hands.execute(() -> {
            try {
                sidecar.configure(address, known);
                sidecar.signal("HUP");
            } catch (IOException e) {
                loop.execute(
                        () -> event("the configuration of " + sidecar + " could not be replaced: " + e.getMessage()));
            }
        });
    }

    private void restart(Fault fault, List<Integer> hit) {
        boolean killed = fault.kind() == Scenario.FaultKind.KILL;
        double deadlineMs = scenario.classes().stream()
                .mapToDouble(Scenario.RequestClass::deadlineMs)
                .max()
                .orElse(0);
        double endMs = killed ? 0 : Math.min(LONGEST_DEADLINE_MS, deadlineMs) + END_AFTER_TERM_MS;
        double apartMs = hit.size() > 1 ? fault.forS() * 1000 / (hit.size() - 1) : 0;
        for (int i = 0; i < hit.size(); i++) {
            int member = hit.get(i);
            world.after(i * apartMs, () -> {
                event("sidecar " + member + (killed ? " is killed with " : " is told to end with ")
                        + clients.get(member).openTries() + " calls open");
                SidecarProcess sidecar = sidecars.get(member);
                sidecar.expectEnd();
                if (killed) {
                    downSinceMs.set(member, world.nowMs());
                    process(member, Views.Process.OFF, "end of sidecar " + member);
                } else {
                    process(member, Views.Process.BETWEEN, "sidecar " + member + " is told to end");
                    // What is lost before its time is up is lost for no reason.
                    world.after(endMs, () -> downSinceMs.set(member, world.nowMs()));
                }
                hands.execute(() -> again(fault, member, endMs));
            });
        }
    }

    private void again(Fault fault, int member, double endMs) {
        SidecarProcess sidecar = sidecars.get(member);
        try {
            if (endMs > 0) {
                sidecar.signal("TERM");
                Thread.sleep((long) endMs);
            }
            sidecar.kill();
            onLoop(() -> process(member, Views.Process.OFF, "end of sidecar " + member));
            Thread.sleep((long) (fault.size() * 1000));
            startNow(member);
        } catch (IOException e) {
            loop.execute(() -> event("sidecar " + member + " could not be ended: " + e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startNow(int member) {
        SidecarProcess sidecar = sidecars.get(member);
        try {
            RosterServer roster = rosters.get(member);
            String address = loop.submit(roster::address).sync().getNow();
            var known = loop.submit(roster::known).sync().getNow();
            sidecar.configure(address, known);
            onLoop(() -> {
                referee.startedAnew(member);
                world.returns.started(member, world.nowMs());
                process(member, Views.Process.BETWEEN, "start of sidecar " + member);
            });
            long from = System.nanoTime();
            sidecar.start();
            boolean ready = sidecar.awaitReady(READY_MS);
            double tookMs = (System.nanoTime() - from) / 1e6;
            onLoop(() -> {
                readyAfterMs.add(tookMs);
                downSinceMs.set(member, Double.NaN);
                if (ready) {
                    world.returns.ready(member, world.nowMs());
                }
                process(member, Views.Process.ON, "sidecar " + member + " is ready");
                event("sidecar " + member + (ready ? " is ready again after " : " is not ready after ")
                        + Math.round(tookMs) + " ms");
            });
        } catch (IOException e) {
            loop.execute(() -> event("sidecar " + member + " could not be started again: " + e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends all that it started; the second time it does nothing. */
    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        hands.shutdownNow();
        try {
            hands.awaitTermination(5, TimeUnit.SECONDS); // or one that is being started again would outlive this
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        sidecars.forEach(SidecarProcess::kill);
        loop.execute(() -> twins.forEach(Process::destroyForcibly));
        if (relay != null) {
            relay.close();
        }
        loop.execute(() -> nodes.values().forEach(NodeServer::end));
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
