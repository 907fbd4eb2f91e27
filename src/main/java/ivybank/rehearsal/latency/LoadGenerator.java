package ivybank.rehearsal.latency;

import ivybank.rehearsal.latency.Observations.Outcome;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Sends the requests of a schedule when they are due and notes when their answers came, on the thread that calls it and
 * no other. While a request is out or due soon it polls its sockets without pause; otherwise it sleeps until shortly before
 * the next one, since waking up takes the system some 0.05 ms. It allocates nothing for a request. Times count from when a
 * request was due, also if it had to wait for a connection.
 */
public final class LoadGenerator implements AutoCloseable {

    /** Connections that each target may have, as clients keep them. */
    private static final int MOST_CONNECTIONS = 128;

    private static final int OPEN_TO_SIDECAR = 8;
    private static final int OPEN_TO_NODE = 1;
    private static final long AWAKE_BEFORE_NS = TimeUnit.MICROSECONDS.toNanos(400);
    private static final long LEAST_SLEEP_NS = TimeUnit.MICROSECONDS.toNanos(200);
    private static final long START_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final RequestTemplate template;
    private final long longestWaitNs;
    private final Selector selector = Selector.open();
    private final Consumer<SelectionKey> onReadable = this::readable;
    private final ClientTarget sidecar;
    private final List<ClientTarget> nodes;
    private int runs;
    private int nextNode;

    private Observations observations;
    private long startNs;
    private long polledNs; // when the last poll but the present one began
    private int out; // requests begun and not ended

    /**
     * Connects to a sidecar and to the nodes that direct requests go to, one after the other.
     *
     * @param requestClass of the settings, safe to repeat
     * @param budgetMs how long the client waits for an answer
     */
    public LoadGenerator(InetSocketAddress sidecar, List<InetSocketAddress> nodes, String requestClass, long budgetMs)
            throws IOException {
        this.template = new RequestTemplate(requestClass, budgetMs);
        this.longestWaitNs = TimeUnit.MILLISECONDS.toNanos(budgetMs);
        this.sidecar = new ClientTarget(sidecar, MOST_CONNECTIONS);
        this.nodes = nodes.stream()
                .map(address -> new ClientTarget(address, MOST_CONNECTIONS))
                .toList();
        this.sidecar.open(OPEN_TO_SIDECAR, template, selector);
        for (ClientTarget node : this.nodes) {
            node.open(OPEN_TO_NODE, template, selector);
        }
    }

    /** Plays a schedule from now on and returns when all is answered, or nothing more is waited for. */
    public Observations play(ArrivalSchedule schedule) throws IOException {
        runs++;
        observations = new Observations(schedule);
        out = 0;
        startNs = System.nanoTime() + START_AFTER_NS;
        polledNs = System.nanoTime();
        int next = 0;
        long nothingMoreNs = startNs + schedule.dueNs(schedule.size() - 1) + longestWaitNs;
        while (next < schedule.size() || out > 0 && System.nanoTime() < nothingMoreNs) {
            poll();
            while (next < schedule.size() && System.nanoTime() >= startNs + schedule.dueNs(next)) {
                begin(next++);
            }
            if (out == 0 && next < schedule.size()) {
                sleepUntil(startNs + schedule.dueNs(next) - AWAKE_BEFORE_NS);
            }
        }
        dropBusy();
        return observations;
    }

    /** What is answered after the run has nobody who waits for it. */
    private void dropBusy() {
        sidecar.dropBusy();
        nodes.forEach(ClientTarget::dropBusy);
    }

    private static void sleepUntil(long atNs) {
        long leftNs = atNs - System.nanoTime();
        if (leftNs > LEAST_SLEEP_NS) {
            LockSupport.parkNanos(leftNs);
        }
    }

    /** Reads all answers that have come. */
    private void poll() throws IOException {
        long nowNs = System.nanoTime();
        selector.selectNow(onReadable);
        polledNs = nowNs;
    }

    private void begin(int request) throws IOException {
        out++;
        ClientTarget target = target(observations.schedule().route(request));
        ClientConnection connection = target.take(template, selector);
        if (connection == null) {
            target.enqueue(request);
        } else {
            send(request, connection);
        }
    }

    private ClientTarget target(Route route) {
        if (route == Route.THROUGH) {
            return sidecar;
        }
        nextNode = (nextNode + 1) % nodes.size();
        return nodes.get(nextNode);
    }

    private void send(int request, ClientConnection connection) throws IOException {
        ArrivalSchedule schedule = observations.schedule();
        observations.sent(request, afterDueNs(request));
        try {
            connection.send(request, schedule.route(request), runs);
        } catch (IOException e) {
            ended(connection);
        }
    }

    private long afterDueNs(int request) {
        return System.nanoTime() - startNs - observations.schedule().dueNs(request);
    }

    private void readable(SelectionKey key) {
        ClientConnection connection = (ClientConnection) key.attachment();
        try {
            ResponseReader.State state = connection.read();
            if (!connection.isBusy() || state == ResponseReader.State.MALFORMED) {
                throw new IOException("bytes that are no answer");
            }
            if (state == ResponseReader.State.COMPLETE) {
                answered(connection);
            }
        } catch (IOException e) {
            ended(connection);
        }
    }

    private void answered(ClientConnection connection) throws IOException {
        end(connection.request(), outcome(connection));
        connection.release();
        ClientTarget target = connection.target();
        int next = target.dequeue();
        if (next == ClientTarget.NONE) {
            target.free(connection);
        } else {
            send(next, connection);
        }
    }

    private static Outcome outcome(ClientConnection connection) {
        return switch (connection.status()) {
            case OK -> connection.isAnswerToRequest() ? Outcome.SERVED : Outcome.WRONG_ANSWER;
            case TOO_MANY_REQUESTS, UNAVAILABLE -> Outcome.REFUSED;
            default -> Outcome.FAILED;
        };
    }

    private void end(int request, Outcome outcome) {
        observations.ended(request, outcome, afterDueNs(request), System.nanoTime() - polledNs);
        out--;
    }

    /** A connection is of no use any more. Its request goes on another one if this one was closed between requests. */
    private void ended(ClientConnection connection) {
        connection.target().drop(connection);
        if (!connection.isBusy()) {
            return;
        }
        int request = connection.request();
        if (!connection.mayRepeat()) {
            end(request, Outcome.FAILED);
            return;
        }
        try {
            send(request, connection.target().connect(template, selector));
        } catch (IOException e) {
            end(request, Outcome.FAILED);
        }
    }

    @Override
    public void close() throws IOException {
        sidecar.close();
        nodes.forEach(ClientTarget::close);
        selector.close();
    }
}
