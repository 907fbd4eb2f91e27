package ivybank.soak;

import ivybank.testing.FakeServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Upstreams that answer at once, and the list that names them. */
final class Upstreams implements AutoCloseable {
    final List<FakeServer> servers;
    private final String[] health;
    private final long[] bornMs;
    private long seq = 1;
    /** The upstream at whose address one more is listed, or -1. */
    private int replaced = -1;

    Upstreams(int count) throws IOException {
        this(count, connection -> {
            while (connection.read() != null) {
                connection.write(FakeServer.OK);
            }
        });
    }

    Upstreams(int count, FakeServer.Script script) throws IOException {
        this(Collections.nCopies(count, script));
    }

    /** One upstream for each script. */
    Upstreams(List<FakeServer.Script> scripts) throws IOException {
        servers = new ArrayList<>();
        for (FakeServer.Script script : scripts) {
            servers.add(new FakeServer(script));
        }
        health = new String[scripts.size() + 1];
        Arrays.fill(health, "Ready");
        bornMs = new long[health.length];
    }

    synchronized String list() {
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":["
                + IntStream.range(0, listed()).mapToObj(this::entry).collect(Collectors.joining(","))
                + "]}";
    }

    private int listed() {
        return servers.size() + (replaced < 0 ? 0 : 1);
    }

    private String entry(int number) {
        int server = number < servers.size() ? number : replaced;
        return String.format(
                Locale.ROOT,
                "{\"host\":\"s-%d\",\"dial\":\"127.0.0.1:%d\",\"site\":\"a\",\"class\":\"k\",\"block\":1,"
                        + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
                number,
                servers.get(server).address().getPort(),
                health[number],
                bornMs[number]);
    }

    /** Lists one more upstream, which has started now, at the address of this one. */
    synchronized void addAtAddressOf(int number, long startedMs) {
        replaced = number;
        bornMs[servers.size()] = startedMs;
        seq++;
    }

    /** Changes what is listed of an upstream. */
    synchronized void set(int number, String state, long startedMs) {
        health[number] = state;
        bornMs[number] = startedMs;
        seq++;
    }

    @Override
    public void close() throws IOException {
        for (FakeServer server : servers) {
            server.close();
        }
    }
}
