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

/** A sidecar that is told to end. */
@Timeout(30)
class SidecarEndTest extends SidecarTestBase {

    @Test
    void whatComesAfterTheRestHasBeenFailedIsRefusedAtOnce() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            while (connection.read() != null) { // takes requests and answers none
            }
        }));
        drainTimes = new DrainTimes(0, 0, 300);
        String hosts = IntStream.range(0, 12)
                .mapToObj(i -> host("s-" + i, upstream.address(), "Ready"))
                .collect(Collectors.joining(","));
        start(FakeServer.nobody(), hosts);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) { // so many that a free connection for each of them is not what refuses it
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

    @Test
    void finishesWhatItHasAndStillServesWhatComesWhenToldToEnd() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            for (String next = connection.read(); next != null; next = connection.read()) {
                if (next.contains("hello")) {
                    go.await();
                }
                connection.write(FakeServer.OK);
            }
        }));
        drainTimes = new DrainTimes(1000, 2000, 10_000);
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client inHand = client();
        Client kept = client();
        assertEquals(200, kept.status(ready()));
        inHand.write(submit(5000));
        assertNotNull(upstream.nextRequest());
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        Client late = client();
        assertEquals(200, late.status(read(3000)));
        assertThrows(IOException.class, () -> {
            while (true) { // until nobody listens any more
                new Socket(address.getAddress(), address.getPort()).close();
                Thread.sleep(20);
            }
        });
        assertEquals(200, kept.status(read(3000)), "for as long as its connection stays open");
        assertNull(kept.read(), "an idle connection is closed in the end");
        assertNull(late.read());
        assertFalse(ended.isDone());
        go.countDown();
        assertTrue(inHand.read().endsWith("body"));
        ended.get(5, TimeUnit.SECONDS);
        sidecar = null;
    }

    /** What the longest deadline allows, where the configuration's texts are replaced one after another. */
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
    void servesAfterTheSignalToEndForAsLongAsItCanAnswer() throws Exception {
        DrainTimes times = longestDrainTimes("6000", "2400", "5000", "800", "1500", "600");
        assertEquals(2400 + 700 - 200, times.failOpenMs());
        assertEquals(times.failOpenMs() - 240, times.stopServingMs());
    }

    @Test
    void withShortDeadlinesTheListenerClosesWhileWhatItTookLastCanStillBeAnswered() throws Exception {
        DrainTimes times = longestDrainTimes(":6000", ":100", ":5000", ":100", ":1500", ":80");
        assertEquals(100 + 700 - 200, times.failOpenMs());
        assertTrue(
                times.stopListeningMs() <= times.failOpenMs() - 30 && times.stopListeningMs() >= 450, times.toString());
        assertTrue(times.stopServingMs() >= times.stopListeningMs());
    }

    @Test
    void afterTheSignalToEndTheClientKeepsAConnectionFree() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            while (connection.read() != null) {
                go.await();
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
            while (true) { // until it is ending
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
        go.countDown();
        assertTrue(clients.get(0).read().endsWith("body"));
        assertTrue(clients.get(1).read().endsWith("body"));
        assertEquals(200, clients.get(2).status(submit(5000)), "its connection stayed open and is of use again");
        assertFalse(ended.isDone());
        ended.get(10, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void aConnectionThatSaysNothingIsClosedAlsoAfterTheSignalToEnd() throws Exception {
        drainTimes = new DrainTimes(0, 6000, 10_000);
        start(FakeServer.nobody(), host("s-1", FakeServer.nobody(), "Ready"));
        Client kept = client();
        assertEquals(200, kept.status(ready()));
        Client mute = client();
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        assertNull(mute.read());
        assertEquals(200, kept.status(ready()), "long before the end");
        ended.get(10, TimeUnit.SECONDS);
        sidecar = null;
    }

    @Test
    void whatIsOpenWhenItsTimeIsUpIsFailedBeforeTheProcessEnds() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            while (connection.read() != null) { // takes requests and answers none
            }
        }));
        drainTimes = new DrainTimes(0, 0, 300);
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client inHand = client();
        inHand.write(submit(5000));
        assertNotNull(upstream.nextRequest());
        CompletableFuture<Void> ended = CompletableFuture.runAsync(sidecar::drain);
        assertTrue(inHand.read().startsWith("HTTP/1.1 502"));
        ended.get(4, TimeUnit.SECONDS);
        sidecar = null;
    }
}
