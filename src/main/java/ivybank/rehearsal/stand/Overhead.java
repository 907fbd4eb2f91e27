package ivybank.rehearsal.stand;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Addresses;
import ivybank.common.Clock;
import ivybank.rehearsal.referee.Referee;
import ivybank.rehearsal.referee.Service;
import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.Plan.Arrival;
import ivybank.rehearsal.scenario.Plan.NodeSpec;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.stand.RosterServer.Entry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What a sidecar costs: the same requests to the same nodes, every other one through the sidecar and the rest past it, in
 * the same seconds of the same run, so that what the machine does meets both alike. Nodes answer at once.
 */
public final class Overhead implements AutoCloseable {

    /** One rate: times to answer in ms, direct and through; CPU of the sidecar for each request through it, in ms. */
    public record Row(
            double rate, double[] directMs, double[] throughMs, double cpuMs, double servedPart, double latenessMs) {}

    /** The percentiles of a row. */
    static final double[] PERCENTILES = {50, 99};

    private static final long READY_MS = 30_000;
    private static final int NODES = 8;
    private static final int DIRECT = 1; // the number of "another sidecar" for the referee
    private static final double MICROS_IN_MS = 1000;

    private final Scenario scenario;
    private final MultiThreadIoEventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<NodeServer> nodes = new ArrayList<>();
    private final World world;
    private final SidecarProcess sidecar;

    /** Starts nodes and a sidecar; the scenario brings kinds, classes and limits, and nothing goes wrong. */
    public Overhead(Scenario scenario, String command, Path folder, Path state, int net)
            throws IOException, InterruptedException {
        this.scenario = scenario;
        world = new World(scenario, acceptor, loop, Clock.system(), new Referee(2, 1e9, 0), net);
        RosterServer roster = loop.submit(() -> {
                    RosterServer made = new RosterServer(world, 0);
                    for (NodeSpec spec : Plan.draw(scenario, 1).nodes().subList(0, NODES)) {
                        NodeModel model = new NodeModel(
                                spec.kind(), spec.speed(), scenario.cold(), scenario.choke(), Double.NEGATIVE_INFINITY);
                        NodeServer node = new NodeServer(
                                world,
                                spec.host(),
                                spec.site(),
                                model,
                                spec.kind().connections(),
                                0,
                                NodeServer.address(net, nodes.size()),
                                false,
                                1);
                        nodes.add(node);
                        made.change(new Entry(
                                spec.host(),
                                node.dial(),
                                spec.site(),
                                spec.kind().name(),
                                "Ready",
                                0));
                    }
                    return made;
                })
                .sync()
                .getNow();
        sidecar = new SidecarProcess(scenario, 0, command, folder, state, Loopback.forSidecar(net, 0), 1);
        sidecar.configure(roster.address(), roster.known());
        sidecar.start();
        loop.submit(world::begin).sync();
        if (!sidecar.awaitReady(READY_MS)) {
            sidecar.kill();
            throw new IOException("the sidecar was not ready within " + READY_MS / 1000 + " s: see " + state);
        }
    }

    /** Plays so many requests a second, half of them each way, for so long. */
    public Row play(double rate, double seconds) throws InterruptedException {
        Service direct = new Service(scenario.classes(), seconds);
        Service through = new Service(scenario.classes(), seconds);
        // One for each node: alone it would meet the connections that one node bears.
        List<ClientApp> past = nodes.stream()
                .map(node -> new ClientApp(world, DIRECT, Addresses.parse(node.dial()), 128, direct, atMs -> false))
                .toList();
        ClientApp via = new ClientApp(world, 0, sidecar.listen(), 128, through, atMs -> false);
        int count = (int) (rate * seconds);
        double[] before = sidecar.usage();
        loop.submit(() -> {
                    double fromMs = world.nowMs();
                    for (int i = 0; i < count; i++) {
                        double atMs = fromMs + i * 1000 / rate;
                        Arrival arrival = new Arrival(
                                i,
                                atMs,
                                0,
                                0,
                                Integer.toHexString(i),
                                0,
                                0,
                                scenario.classes().get(0).deadlineMs(),
                                0,
                                false);
                        ClientApp client = i % 2 == 0 ? past.get(i / 2 % past.size()) : via;
                        world.at(atMs, () -> client.arrive(arrival));
                    }
                })
                .sync();
        Thread.sleep((long) (seconds * 1000));
        while (loop.submit(() -> via.openTries()
                                + past.stream().mapToInt(ClientApp::openTries).sum())
                        .sync()
                        .getNow()
                > 0) {
            Thread.sleep(20);
        }
        double[] after = sidecar.usage();
        return new Row(
                rate,
                percentiles(direct),
                percentiles(through),
                1000 * (after[2] - before[2]) / (count / 2.0),
                served(through) / (count / 2.0),
                world.latenessMs());
    }

    private static int served(Service service) {
        int served = 0;
        for (int[] row : service.results()) {
            served += row[Service.Result.IN_TIME.ordinal()];
        }
        return served;
    }

    private static double[] percentiles(Service service) {
        double[] values = new double[PERCENTILES.length];
        for (int i = 0; i < values.length; i++) {
            values[i] = service.fine().getValueAtPercentile(PERCENTILES[i]) / MICROS_IN_MS;
        }
        return values;
    }

    @Override
    public void close() {
        sidecar.kill();
        loop.execute(() -> nodes.forEach(NodeServer::end));
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
