package ivybank.emulator;

import ivybank.fleet.FleetCount;
import ivybank.policy.Balancer;
import ivybank.policy.Balancer.AttemptEnd;
import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.Request;
import ivybank.policy.Balancer.Upstream;
import ivybank.policy.LoadShiftingBalancer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One life of a sidecar: the real module, and a model of the connections that it keeps. A connection carries one request at
 * a time; a new one costs two ways to the node and work there.
 */
final class SidecarModel implements Balancer.Actions {

    private static final double WAY_MS = 1.5;
    private static final double CONNECT_TIMEOUT_MS = 250;
    /** What is kept of the client's time for the way of the answer. */
    private static final double ANSWER_MS = 20;

    private static final double[] NO_REPORT = {};

    /** What a client's request became, once. */
    interface Answer {
        void answered(boolean served);
    }

    private static final class Connection {
        final NodeModel node;
        double idleSinceMs;
        boolean closed;

        Connection(NodeModel node) {
            this.node = node;
        }
    }

    private final class Sent {
        final Exchange exchange;
        final int number;
        final NodeModel node;
        final double sentMs;
        Connection connection;
        NodeModel.Job job;
        boolean over;

        Sent(Exchange exchange, int number, NodeModel node) {
            this.exchange = exchange;
            this.number = number;
            this.node = node;
            this.sentMs = simulation.nowMs();
        }

        void end(Outcome outcome, boolean keep) {
            if (over) {
                return;
            }
            over = true;
            if (job != null) {
                node.callOff(job);
            }
            if (connection != null && keep) {
                handBack(connection);
            } else if (connection != null) {
                close(connection);
            }
            if (ended) {
                return;
            }
            boolean served = outcome == Outcome.OK;
            boolean now = served && !exchange.over;
            if (now) {
                exchange.over = true;
            }
            boolean heard = served || outcome == Outcome.REJECTED;
            double[] report = heard ? new double[] {0, node.busy()} : NO_REPORT;
            tell(() -> balancer.attemptEnded(
                    simulation.nowMs(),
                    new AttemptEnd(
                            exchange.id,
                            number,
                            node.id,
                            outcome,
                            simulation.nowMs() - sentMs,
                            exchange.over,
                            report)));
            if (now) {
                exchange.answer.answered(true);
            }
        }
    }

    private static final class Exchange {
        final int id;
        final double deadlineMs;
        final double work;
        final double ioMs;
        final Answer answer;
        final List<Sent> attempts = new ArrayList<>(2);
        boolean over;

        Exchange(int id, double deadlineMs, double work, double ioMs, Answer answer) {
            this.id = id;
            this.deadlineMs = deadlineMs;
            this.work = work;
            this.ioMs = ioMs;
            this.answer = answer;
        }
    }

    private final Simulation simulation;
    private final Map<Integer, NodeModel> nodes;
    private final FleetSpec spec;
    private final FleetRun.Tally tally;
    private final Balancer balancer;
    private final Map<Integer, Exchange> exchanges = new HashMap<>();
    private final Map<NodeModel, ArrayDeque<Connection>> idle = new HashMap<>();
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean telling;
    private boolean ended;
    private int lastId;

    SidecarModel(
            Simulation simulation,
            Map<Integer, NodeModel> nodes,
            FleetSpec spec,
            FleetRun.Tally tally,
            SplittableRandom random) {
        this.simulation = simulation;
        this.nodes = nodes;
        this.spec = spec;
        this.tally = tally;
        this.balancer = new LoadShiftingBalancer(spec.settings(), random.nextLong(), this);
        tell(() -> balancer.start(simulation.nowMs()));
        simulation.after(500, this::sweep);
    }

    void list(ListKind kind, List<Upstream> entries) {
        if (!ended) {
            tell(() -> balancer.upstreams(simulation.nowMs(), kind, entries));
        }
    }

    /** How many nodes it draws from. */
    int members() {
        return (int) balancer.learned().nodes().values().stream()
                .filter(node -> node.share() > 0)
                .count();
    }

    /** A client's request; what this life leaves unanswered is never answered. */
    void request(boolean read, double budgetMs, double work, double ioMs, Answer answer) {
        if (ended) {
            return;
        }
        Exchange exchange = new Exchange(++lastId, simulation.nowMs() + budgetMs, work, ioMs, answer);
        exchanges.put(exchange.id, exchange);
        simulation.after(budgetMs, () -> {
            if (!ended && !exchange.over) {
                exchange.over = true;
                tell(() -> balancer.clientDisconnected(simulation.nowMs(), exchange.id));
                answer.answered(false);
            }
            simulation.after(1000, () -> exchanges.remove(exchange.id));
        });
        tell(() -> balancer.request(
                simulation.nowMs(), new Request(exchange.id, read ? 0 : 1, 0, budgetMs - ANSWER_MS, false, false)));
    }

    /** Its process is killed: its connections break, and what was asked of nodes is called off. */
    void kill() {
        ended = true; // from here on the module hears of nothing
        exchanges.values().forEach(exchange -> exchange.attempts.forEach(sent -> sent.end(Outcome.CANCELLED, false)));
        idle.values().forEach(connections -> connections.forEach(this::close));
        idle.clear();
    }

    private void tell(Runnable event) {
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        for (Runnable next = events.poll(); next != null; next = events.poll()) {
            next.run();
        }
        telling = false;
    }

    // ---- Connections.

    private void handBack(Connection connection) {
        if (connection.node.gone() || ended) {
            close(connection);
            return;
        }
        connection.idleSinceMs = simulation.nowMs();
        idle.computeIfAbsent(connection.node, node -> new ArrayDeque<>()).addFirst(connection);
    }

    private void close(Connection connection) {
        if (!connection.closed) {
            connection.closed = true;
            connection.node.disconnect();
        }
    }

    private void sweep() {
        if (ended) {
            return;
        }
        double oldestMs = simulation.nowMs() - spec.idleMs();
        for (ArrayDeque<Connection> connections : idle.values()) {
            while (!connections.isEmpty()
                    && (connections.peekLast().idleSinceMs < oldestMs
                            || connections.peekLast().node.gone())) {
                close(connections.pollLast());
            }
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
        simulation.after(500, this::sweep);
    }

    // ---- What the module asks for.

    @Override
    public void send(int request, int upstream, double timeoutMs) {
        Exchange exchange = exchanges.get(request);
        NodeModel node = nodes.get(upstream);
        Sent sent = new Sent(exchange, exchange.attempts.size(), node);
        exchange.attempts.add(sent);
        tally.sent(node);
        double leftMs = exchange.deadlineMs - ANSWER_MS - simulation.nowMs();
        simulation.after(Math.min(timeoutMs > 0 ? timeoutMs : leftMs, leftMs), () -> sent.end(Outcome.TIMEOUT, false));
        ArrayDeque<Connection> free = idle.get(node);
        Connection kept = free == null ? null : free.pollFirst();
        if (kept != null && !node.gone()) {
            sent.connection = kept;
            simulation.after(WAY_MS, () -> arrive(sent));
        } else {
            simulation.after(WAY_MS, () -> connect(sent));
        }
    }

    private void connect(Sent sent) {
        if (sent.over) {
            return;
        }
        if (sent.node.silent()) {
            simulation.after(CONNECT_TIMEOUT_MS, () -> sent.end(Outcome.CONNECT_FAILED, false));
        } else if (!sent.node.connect()) {
            sent.end(Outcome.CONNECT_FAILED, false);
        } else {
            sent.connection = new Connection(sent.node);
            tally.connected();
            sent.job = sent.node.handshake(() -> {
                sent.job = null;
                simulation.after(2 * WAY_MS, () -> arrive(sent));
            });
        }
    }

    private void arrive(Sent sent) {
        if (sent.over) {
            return;
        }
        if (sent.node.gone()) {
            sent.end(Outcome.RESET, false);
            return;
        }
        sent.job = sent.node.request(sent.exchange.work, sent.exchange.ioMs, () -> {
            sent.job = null;
            simulation.after(WAY_MS, () -> sent.end(Outcome.OK, true));
        });
        if (sent.job == null) {
            sent.end(Outcome.REJECTED, true);
        }
    }

    @Override
    public void refuse(int request, double retryAfterMs) {
        over(request);
    }

    @Override
    public void fail(int request) {
        over(request);
    }

    private void over(int request) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && !exchange.over) {
            exchange.over = true;
            tally.givenUp();
            simulation.after(0, () -> exchange.answer.answered(false));
        }
    }

    @Override
    public void cancel(int request, int attempt) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && attempt < exchange.attempts.size()) {
            exchange.attempts.get(attempt).end(Outcome.CANCELLED, false);
        }
    }

    @Override
    public void probe(int upstream) {
        throw new IllegalStateException("the module asked for a probe, which the settings don't allow");
    }

    @Override
    public void timer(double delayMs, int token) {
        simulation.after(delayMs, () -> {
            if (!ended) {
                tell(() -> balancer.timer(simulation.nowMs(), token));
            }
        });
    }

    @Override
    public void subscribe(boolean on) {
        // Lists are pushed here.
    }

    @Override
    public void fetchList() {
        // Lists are pushed here.
    }

    @Override
    public int sidecars(int told) {
        return spec.viewed() ? new FleetCount(told, 0).seen(simulation.nowMs(), spec.sidecars()) : told;
    }

    @Override
    public void closeIdle(int upstream) {
        ArrayDeque<Connection> connections = idle.remove(nodes.get(upstream));
        if (connections != null) {
            connections.forEach(this::close);
        }
    }

    @Override
    public void log(String line) {
        // Its figures are the run's.
    }
}
