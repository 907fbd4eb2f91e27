package ivybank.rehearsal.latency;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** An address that the generator sends to, with the connections that it keeps there, the last used first. */
final class ClientTarget {

    /** Instead of a request's number: no request waits. */
    static final int NONE = -1;

    private final InetSocketAddress address;
    private final int mostConnections;
    private final Deque<ClientConnection> idle;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final Deque<Integer> waiting = new ArrayDeque<>(); // no more than the schedule holds

    ClientTarget(InetSocketAddress address, int mostConnections) {
        this.address = address;
        this.mostConnections = mostConnections;
        this.idle = new ArrayDeque<>(mostConnections + 1);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Opens connections before they are needed. */
    void open(int count, RequestTemplate template, Selector selector) throws IOException {
        for (int i = 0; i < count; i++) {
            idle.addFirst(connect(template, selector));
        }
    }

    /** A connection that is free, or a new one; null if there are as many as there may be and all are busy. */
    ClientConnection take(RequestTemplate template, Selector selector) throws IOException {
        ClientConnection free = idle.pollFirst();
        if (free != null) {
            return free;
        }
        return connections.size() < mostConnections ? connect(template, selector) : null;
    }

    /** Opens one connection more, which is busy from the start. */
    ClientConnection connect(RequestTemplate template, Selector selector) throws IOException {
        ClientConnection made = new ClientConnection(this, template, selector);
        connections.add(made);
        return made;
    }

    /** A connection can carry the next request. */
    void free(ClientConnection connection) {
        idle.addFirst(connection);
    }

    /** A request found no connection: it is the last of those that wait. */
    void enqueue(int request) {
        waiting.addLast(request);
    }

    /** The request that has waited longest, or {@link #NONE}. */
    int dequeue() {
        Integer first = waiting.pollFirst();
        return first == null ? NONE : first;
    }

    /** Drops what waits, and connections whose request has no answer. */
    void dropBusy() {
        waiting.clear();
        List<ClientConnection> busy =
                connections.stream().filter(ClientConnection::isBusy).toList();
        busy.forEach(this::drop);
    }

    /** A connection has ended. */
    void drop(ClientConnection connection) {
        connection.close();
        connections.remove(connection);
        idle.remove(connection);
    }

    void close() {
        connections.forEach(ClientConnection::close);
        connections.clear();
        idle.clear();
    }
}
