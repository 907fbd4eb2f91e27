package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the shutdown of a sidecar. */
@Timeout(30)
class SidecarShutdownTest extends SidecarTestBase {

    @Test
    void requestsAfterOpenOnesWereFailedAreRefusedAtOnce() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            while (connection.read() != null) { // reads requests and answers none
            }
        }));
        drainTimes = new DrainTimes(0, 0, 300);
        String hosts = IntStream.range(0, 12)
                .mapToObj(i -> host("s-" + i, upstream.address(), "Ready"))
                .collect(Collectors.joining(","));
        start(FakeServer.nobody(), hosts);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) { // so many that requests are not refused for lack of a free connection
            clients.add(client());
            clients.get(i)
                    .write(submit(5000).replace("Id: s", "Id: s" + i)
                            + submit(5000).replace("Id: s", "Id: t" + i));
            assertNotNull(upstream.nextRequest());
        }
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        for (Client client : clients) {
            assertTrue(client.read().startsWith("HTTP/1.1 502"));
            assertTrue(client.read().startsWith("HTTP/1.1 503"));
        }
        ended.get(4, TimeUnit.SECONDS);
        sidecar = null;
    }

    // Guards against a second answer, 408 at the end of the connection, to a request that was answered before its end.
    @Test
    void aLongRequestThatWasAnsweredBeforeItsEndGetsNoSecondAnswer() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.socket.getInputStream().read();
            connection.write(FakeServer.REJECTED);
            connection.socket.close();
        }));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client client = client();
        client.write(submit(5000).replace("Length: 5", "Length: 1000000") + "x".repeat(100_000));
        assertTrue(client.read().startsWith("HTTP/1.1 503"));
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        assertNull(client.read());
        ended.get(4, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void finishesRequestsInProgressAndServesNewOnesDuringShutdown() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            for (String next = connection.read(); next != null; next = connection.read()) {
                if (next.contains("hello")) {
                    proceed.await();
                }
                connection.write(FakeServer.OK);
            }
        }));
        drainTimes = new DrainTimes(1000, 2000, 10_000);
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client inProgress = client();
        Client idle = client();
        assertEquals(200, idle.status(ready()));
        inProgress.write(submit(5000));
        assertNotNull(upstream.nextRequest());
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        Client late = client();
        assertEquals(200, late.status(read(3000)));
        assertThrows(IOException.class, () -> {
            while (true) { // until the listener is closed
                new Socket(address.getAddress(), address.getPort()).close();
                Thread.sleep(20);
            }
        });
        assertEquals(200, idle.status(read(3000)), "an open connection is still served");
        assertNull(idle.read(), "an idle connection is not closed at the end");
        assertNull(late.read());
        assertFalse(ended.isDone());
        proceed.countDown();
        assertTrue(inProgress.read().endsWith("body"));
        ended.get(5, TimeUnit.SECONDS);
        sidecar = null;
    }

    /**
     * Returns the longest drain times for the configuration with these texts replaced, given as pairs of text and
     * replacement.
     */
    private DrainTimes longestDrainTimes(String... textsAndReplacements) throws IOException {
        config(FakeServer.nobody(), "", 99);
        String text = Files.readString(dir.resolve("config.json"));
        for (int i = 0; i < textsAndReplacements.length; i += 2) {
            text = text.replace(textsAndReplacements[i], textsAndReplacements[i + 1]);
        }
        Path file = Files.writeString(dir.resolve("replaced.json"), text);
        return DrainTimes.longest(
                Config.load(Map.of("EDGE_CONFIG", file.toString())).settings());
    }

    @Test
    void servesAfterTheShutdownSignalForAsLongAsItCanAnswer() throws Exception {
        DrainTimes times = longestDrainTimes("6000", "2400", "5000", "800", "1500", "600");
        assertEquals(2400 + 700 - 400, times.failOpenMs());
        assertEquals(times.failOpenMs() - 240, times.stopServingMs());
    }

    @Test
    void withShortDeadlinesTheListenerClosesInTimeForTheLastAnswers() throws Exception {
        DrainTimes times = longestDrainTimes(":6000", ":100", ":5000", ":100", ":1500", ":80");
        assertEquals(100 + 700 - 200, times.failOpenMs());
        assertTrue(
                times.stopListeningMs() <= times.failOpenMs() - 30 && times.stopListeningMs() >= 450, times.toString());
        assertTrue(times.stopServingMs() >= times.stopListeningMs());
    }

    @Test
    void afterTheShutdownSignalAClientConnectionIsKeptFree() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            while (connection.read() != null) {
                proceed.await();
                connection.write(FakeServer.OK);
            }
        }));
        drainTimes = new DrainTimes(0, 6000, 10_000);
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            clients.add(client());
            assertEquals(200, clients.get(i).status(ready()));
        }
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        assertThrows(IOException.class, () -> {
            while (true) { // until the shutdown has begun
                new Socket(address.getAddress(), address.getPort()).close();
                Thread.sleep(20);
            }
        });
        clients.get(0).write(submit(5000).replace("Id: s", "Id: s0"));
        clients.get(1).write(submit(5000).replace("Id: s", "Id: s1"));
        assertNotNull(upstream.nextRequest());
        assertNotNull(upstream.nextRequest());
        String refusal = clients.get(2).ask(submit(5000));
        assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
        assertTrue(refusal.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 1.5\r\n"), refusal);
        proceed.countDown();
        assertTrue(clients.get(0).read().endsWith("body"));
        assertTrue(clients.get(1).read().endsWith("body"));
        assertEquals(200, clients.get(2).status(submit(5000)), "the refused connection is not usable any more");
        assertFalse(ended.isDone());
        ended.get(10, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void aSilentConnectionIsClosedAfterTheShutdownSignal() throws Exception {
        drainTimes = new DrainTimes(0, 6000, 10_000);
        start(FakeServer.nobody(), host("s-1", FakeServer.nobody(), "Ready"));
        Client idle = client();
        assertEquals(200, idle.status(ready()));
        Client silent = client();
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        assertNull(silent.read());
        assertEquals(200, idle.status(ready()), "the sidecar does not serve long before its end");
        ended.get(10, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void openRequestsAreFailedBeforeTheProcessEnds() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            while (connection.read() != null) { // reads requests and answers none
            }
        }));
        drainTimes = new DrainTimes(0, 0, 300);
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client inProgress = client();
        inProgress.write(submit(5000));
        assertNotNull(upstream.nextRequest());
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        assertTrue(inProgress.read().startsWith("HTTP/1.1 502"));
        ended.get(4, TimeUnit.SECONDS);
        sidecar = null;
    }
}
