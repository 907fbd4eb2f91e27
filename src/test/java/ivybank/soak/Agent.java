package ivybank.soak;

import ivybank.testing.FakeServer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An agent that pushes lists: it answers at once with what it has, and tells changes on its open watches. */
final class Agent implements AutoCloseable {
    final FakeServer server;
    private final Upstreams upstreams;
    private final List<FakeServer.Connection> watches = new CopyOnWriteArrayList<>();
    final AtomicInteger calls = new AtomicInteger();
    /** Whether it has nothing to say to anyone, as while discovery is down. */
    private volatile boolean silent;

    Agent(Upstreams upstreams) throws IOException {
        this.upstreams = upstreams;
        server = new FakeServer(connection -> {
            calls.incrementAndGet();
            for (String call = connection.read(); call != null; call = connection.read()) {
                awaitWord();
                String list = upstreams.list();
                if (call.contains("stream=1")) {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
                    watches.add(connection);
                    beat(connection);
                } else {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                }
            }
        });
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    private void beat(FakeServer.Connection connection) throws IOException, InterruptedException {
        while (true) {
            Thread.sleep(2000);
            awaitWord();
            connection.write(chunk(""));
        }
    }

    private void awaitWord() throws InterruptedException {
        while (silent) {
            Thread.sleep(5);
        }
    }

    /** From now on says nothing, or answers what has waited meanwhile. */
    void silence(boolean on) {
        silent = on;
    }

    /** Tells the list as it is now on all open watches. */
    void tell() {
        for (FakeServer.Connection watch : List.copyOf(watches)) {
            try {
                watch.write(chunk(upstreams.list()));
            } catch (IOException e) {
                watches.remove(watch);
            }
        }
    }

    /** Resets all open watches. */
    void resetWatches() throws IOException {
        for (FakeServer.Connection watch : List.copyOf(watches)) {
            watches.remove(watch);
            watch.reset();
        }
    }

    boolean hasWatch() {
        return !watches.isEmpty();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
