package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.daemon.SidecarRig.Client;
import ivybank.testing.FakeServer;
import ivybank.testing.HaltingLines;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the start and the end of a process, when requests or list updates are already or still pending. Each test
 * forces one problematic order of events.
 */
@Timeout(30)
class StartupAndShutdownTest {

    @TempDir
    Path dir;

    private final SidecarRig.Options options = new SidecarRig.Options();

    private static String host(String name, InetSocketAddress address, String health) {
        return SidecarRig.host(name, address, health);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static boolean listens(InetSocketAddress address) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Changes that the discovery agent has count from the start of a process, whatever the configured list says. */
    @Test
    void clientsAreNotServedFromAStaleListBeforeTheAgentHasAnswered() throws Exception {
        FakeServer drains = FakeServer.answering(FakeServer.OK.replace("body", "old."));
        FakeServer ready = FakeServer.answering(FakeServer.OK);
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        FakeServer agent = new FakeServer(connection -> {
            connection.read();
            asked.countDown();
            proceed.await();
            SidecarRig.answerList(
                    connection,
                    SidecarRig.list(
                            9,
                            host("s-1", drains.address(), "Terminating") + ","
                                    + host("s-2", ready.address(), "Ready")));
            connection.read();
            connection.read();
        });
        options.listen = freeAddress();
        options.drainGraceMs = 3000; // the agent can take half of it
        try (drains;
                ready;
                agent) {
            CompletableFuture<SidecarRig> started = CompletableFuture.supplyAsync(() -> {
                try {
                    return new SidecarRig(dir, agent.address(), host("s-1", drains.address(), "Ready"), options);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            asked.await();
            for (int i = 0; i < 10; i++) {
                assertFalse(listens(options.listen), "served from the stale list");
                Thread.sleep(10);
            }
            proceed.countDown();
            try (SidecarRig rig = started.get(5, TimeUnit.SECONDS)) {
                for (int i = 0; i < 20; i++) {
                    assertTrue(
                            rig.client().write(SidecarRig.read("r" + i)).read().endsWith("body"));
                }
            }
            assertTrue(drains.requests.isEmpty());
        }
    }

    @Test
    void theWaitForASilentAgentIsBoundedByTheDrainGrace() throws Exception {
        FakeServer node = FakeServer.answering(FakeServer.OK);
        FakeServer agent = new FakeServer(
                connection -> connection.socket.getInputStream().transferTo(OutputStream.nullOutputStream()));
        try (node;
                agent) {
            long from = System.nanoTime();
            try (SidecarRig rig = new SidecarRig(dir, agent.address(), host("s-1", node.address(), "Ready"), options)) {
                long waitedMs = (System.nanoTime() - from) / 1_000_000;
                assertTrue(
                        rig.client().write(SidecarRig.read("a")).read().endsWith("body"),
                        "the sidecar continues with the known list");
                assertTrue(waitedMs < 3000, "waited " + waitedMs + " ms");
            }
        }
    }

    /** Clients in the accept backlog when the listener closes have already sent their requests. */
    @Test
    void clientsInTheBacklogAreAnsweredWhenTheListenerCloses() throws Exception {
        FakeServer node = FakeServer.answering(FakeServer.OK);
        CountDownLatch halted = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        options.logLines = HaltingLines.at("drain started", halted, proceed);
        options.drainTimes = new DrainTimes(1, 2000, 3000);
        try (node;
                SidecarRig rig =
                        new SidecarRig(dir, FakeServer.nobody(), host("s-1", node.address(), "Ready"), options)) {
            CompletableFuture<Void> ended = CompletableFuture.runAsync(rig::drain);
            halted.await();
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                clients.add(rig.client().write(SidecarRig.read("b" + i)));
            }
            Thread.sleep(20); // the close of the listener is overdue
            proceed.countDown();
            for (Client each : clients) {
                String answer = each.read();
                assertNotNull(answer, "closed without an answer");
            }
            clients.forEach(SidecarRig.Client::closeQuietly);
            ended.get(10, TimeUnit.SECONDS);
        }
    }

    /** Nodes hang when the sidecar is told to shut down: requests in progress are answered before the process ends. */
    @Test
    void hangingRequestsFailAtShutdownAndNewRequestsAreAnswered() throws Exception {
        FakeServer hangs = new FakeServer(
                connection -> connection.socket.getInputStream().transferTo(OutputStream.nullOutputStream()));
        options.deadlineMs = 600;
        options.drainTimes = new DrainTimes(100, 300, 500);
        try (hangs;
                SidecarRig rig =
                        new SidecarRig(dir, FakeServer.nobody(), host("s-1", hangs.address(), "Ready"), options)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                clients.add(rig.client().write(SidecarRig.submit("u" + i, 2) + "ab"));
            }
            Client idle = rig.client();
            while (rig.sidecar.requestsInProgress() < 6) {
                Thread.sleep(2);
            }
            long from = System.nanoTime();
            CompletableFuture<Void> ended = CompletableFuture.runAsync(rig::drain);
            assertTrue(
                    idle.write(SidecarRig.read("late")).read().startsWith("HTTP/1.1 "), "an open connection is served");
            for (Client each : clients) {
                String answer = each.read();
                assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
                assertFalse(answer.startsWith("HTTP/1.1 503"), "an unsafe request that may have run is not refused");
            }
            ended.get(5, TimeUnit.SECONDS);
            assertTrue((System.nanoTime() - from) / 1_000_000 < 3000);
        }
    }

    /** The process ends only when the last answer has been sent, also where its client reads slowly. */
    @Test
    void theProcessWaitsForBufferedAnswers() throws Exception {
        FakeServer node = FakeServer.answering("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000));
        options.drainTimes = new DrainTimes(1, 50, 4000);
        try (node;
                SidecarRig rig =
                        new SidecarRig(dir, FakeServer.nobody(), host("s-1", node.address(), "Ready"), options)) {
            Client client = rig.client();
            for (int i = 0; i < 50; i++) { // more than the socket buffers hold
                client.write(SidecarRig.read("n" + i));
            }
            Thread.sleep(300);
            CompletableFuture<Void> ended = CompletableFuture.runAsync(rig::drain);
            Thread.sleep(300);
            int completeAnswers = 0;
            for (String answer = client.read(); answer != null; answer = client.read()) {
                assertTrue(answer.endsWith("xxxx"));
                completeAnswers++;
            }
            assertEquals(50, completeAnswers);
            ended.get(10, TimeUnit.SECONDS);
        }
    }
}
