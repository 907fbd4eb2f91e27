package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.common.Clock;
import ivybank.daemon.SidecarRig.Client;
import ivybank.testing.FakeServer;
import ivybank.testing.HaltingLines;
import ivybank.testing.LateListener;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The event loop stalls (the process is stopped, or the machine is migrated or overloaded) while clients disconnect and
 * nodes drain. What the loop reads first afterwards must not be forwarded before it has read the rest.
 */
@Timeout(30)
class EventLoopStallTest {

    /**
     * Longer than the 500 ms grace of a drain. Tests of disconnected clients also use a stall slightly longer than the
     * 100 ms after which nothing may be forwarded.
     */
    private static final int STALL_MS = 700;

    private static final int SETTLED_MS = 500;

    @TempDir
    Path dir;

    private final SidecarRig.Options options = new SidecarRig.Options();
    private final CountDownLatch halted = new CountDownLatch(1);
    private final CountDownLatch proceed = new CountDownLatch(1);

    @BeforeEach
    void haltOnReload() {
        options.logLines = HaltingLines.at("reloading the configuration", halted, proceed);
    }

    private void halt(SidecarRig rig) throws InterruptedException {
        rig.sidecar.reload();
        halted.await();
    }

    private void endStall() throws InterruptedException {
        endStallAfter(STALL_MS);
    }

    private void endStallAfter(int stallMs) throws InterruptedException {
        Thread.sleep(stallMs);
        proceed.countDown();
    }

    private static String ready(String name, FakeServer node) {
        return SidecarRig.host(name, node.address(), "Ready");
    }

    /** Sends requests until each node has served one, so that each has an open and rested connection. */
    private static void warm(SidecarRig rig, FakeServer... nodes) throws Exception {
        Client client = rig.client();
        for (FakeServer node : nodes) {
            for (int i = 0; node.requests.isEmpty(); i++) {
                assertTrue(client.write(SidecarRig.read("w" + node.address().getPort() + i))
                        .read()
                        .endsWith("body"));
            }
        }
        for (FakeServer node : nodes) {
            node.requests.clear();
        }
        Thread.sleep(100);
    }

    @ParameterizedTest
    @CsvSource({"true, 110", "false, 110", "true, 700", "false, 700"})
    void requestsOfClientsThatLeaveDuringAStallAreNotForwarded(boolean cancel, int stallMs) throws Exception {
        options.cancel = cancel;
        FakeServer node = FakeServer.answering(FakeServer.OK);
        try (node;
                SidecarRig rig = new SidecarRig(dir, FakeServer.nobody(), ready("s-1", node), options)) {
            warm(rig, node);
            Client open = rig.client();
            assertTrue(open.write(SidecarRig.read("o")).read().endsWith("body"));
            node.requests.clear();
            halt(rig);
            open.write(SidecarRig.read("a")).close();
            rig.client().write(SidecarRig.submit("b", 5) + "hello").reset();
            for (int i = 0; i < 40; i++) { // one is accepted per pass
                rig.client().write(SidecarRig.read("c" + i)).close();
            }
            Client stays = rig.client().write(SidecarRig.read("stays"));
            endStallAfter(stallMs);
            assertTrue(stays.read().endsWith("body"));
            Thread.sleep(SETTLED_MS);
            assertEquals(
                    List.of("stays"),
                    node.requests.stream()
                            .map(request -> request.replaceAll("(?s).*Call-Id: (\\S+).*", "$1"))
                            .toList(),
                    "forwarded for a disconnected client");
        }
    }

    /**
     * The rejection by the node is read before the end of the client's connection: the next attempt has to wait until
     * the rest is read.
     */
    @ParameterizedTest
    @CsvSource({"true, 110", "false, 110", "true, 700", "false, 700"})
    void aRejectedAttemptIsNotRetriedForAClientThatLeftDuringAStall(boolean cancel, int stallMs) throws Exception {
        options.cancel = cancel;
        CountDownLatch rejects = new CountDownLatch(1);
        CountDownLatch rejected = new CountDownLatch(1);
        FakeServer.Script script = connection -> {
            for (String request = connection.read(); request != null; request = connection.read()) {
                if (request.contains("Id: leaves")) {
                    rejects.await();
                    connection.write(FakeServer.REJECTED);
                    rejected.countDown();
                } else {
                    connection.write(FakeServer.OK);
                }
            }
        };
        FakeServer one = new FakeServer(script);
        FakeServer two = new FakeServer(script);
        try (one;
                two;
                SidecarRig rig = new SidecarRig(
                        dir, FakeServer.nobody(), ready("s-1", one) + "," + ready("s-2", two), options)) {
            warm(rig, one, two);
            Client client = rig.client().write(SidecarRig.submit("leaves", 5) + "hello");
            while (one.requests.size() + two.requests.size() == 0) {
                Thread.sleep(1);
            }
            halt(rig);
            rejects.countDown();
            rejected.await();
            Thread.sleep(20); // the answer arrives before the end of the connection
            client.close();
            endStallAfter(stallMs);
            Thread.sleep(SETTLED_MS);
            assertEquals(1, one.requests.size() + two.requests.size(), "the request was sent again");
        }
    }

    @ParameterizedTest
    @CsvSource({"true, 110", "false, 110", "true, 700", "false, 700"})
    void aRequestIsNotForwardedIfItsClientLeftWhileTheConnectionOpened(boolean cancel, int stallMs) throws Exception {
        options.cancel = cancel;
        try (LateListener node = new LateListener();
                SidecarRig rig = new SidecarRig(
                        dir, FakeServer.nobody(), SidecarRig.host("s-1", node.address(), "Ready"), options)) {
            Client client = rig.client().write(SidecarRig.submit("a", 5) + "hello");
            while (rig.sidecar.requestsInProgress() == 0) {
                Thread.sleep(1);
            }
            halt(rig);
            node.letIn();
            Socket accepted = node.next(4000);
            assertNotNull(accepted);
            client.close();
            endStallAfter(stallMs);
            accepted.setSoTimeout(SETTLED_MS);
            try {
                assertEquals(-1, accepted.getInputStream().read(), "something was forwarded");
            } catch (SocketTimeoutException e) {
                // The connection is idle: nothing was sent.
            }
        }
    }

    /** The time of a request counts from its arrival, not from when it was read. */
    @Test
    void aRequestThatArrivesDuringAStallIsAnsweredInTime() throws Exception {
        options.deadlineMs = 1500;
        FakeServer node = new FakeServer(connection -> {
            for (String request = connection.read(); request != null; request = connection.read()) {
                if (!request.contains("Id: hangs")) {
                    connection.write(FakeServer.OK);
                }
            }
        });
        try (node;
                SidecarRig rig = new SidecarRig(dir, FakeServer.nobody(), ready("s-1", node), options)) {
            warm(rig, node);
            Client client = rig.client();
            assertTrue(client.write(SidecarRig.read("w")).read().endsWith("body"));
            halt(rig);
            long fromNanos = System.nanoTime();
            client.write(SidecarRig.submit("hangs", 5).replace("6000", "1500") + "hello");
            endStall();
            assertTrue(client.read().startsWith("HTTP/1.1 50"));
            long tookMs = (System.nanoTime() - fromNanos) / 1_000_000;
            assertTrue(tookMs < 1900, "answered after " + tookMs + " of 1500 ms"); // 2200 ms if its time started over
        }
    }

    /**
     * Where passes over the sockets are slow, new connections do not wait for as many passes as there are connections.
     * Here each pass takes about 30 ms: this many clients send requests without a pause, and each reading of the clock
     * takes 1 ms.
     */
    @Test
    void connectionsDoNotWaitLongInTheBacklogOnASlowMachine() throws Exception {
        AtomicBoolean slow = new AtomicBoolean();
        options.clock = new Clock(System.currentTimeMillis(), () -> {
            if (slow.get()) {
                LockSupport.parkNanos(1_000_000);
            }
            return System.nanoTime();
        });
        AtomicInteger asked = new AtomicInteger();
        FakeServer node = FakeServer.answering(FakeServer.OK);
        try (node;
                SidecarRig rig = new SidecarRig(dir, FakeServer.nobody(), ready("s-1", node), options)) {
            for (int i = 0; i < 30; i++) {
                Client busy = rig.client();
                Thread thread = new Thread(() -> {
                    try {
                        while (busy.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                        .read()
                                != null) {
                            asked.incrementAndGet();
                        }
                    } catch (IOException e) {
                        // The test has ended.
                    }
                });
                thread.setDaemon(true);
                thread.start();
            }
            while (asked.get() < 300) {
                Thread.sleep(1);
            }
            slow.set(true);
            int before = asked.get();
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                clients.add(rig.client().write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
            }
            for (Client each : clients) {
                assertTrue(each.read().startsWith("HTTP/1.1 200"));
            }
            int passes = (asked.get() - before) / 30;
            slow.set(false);
            assertTrue(passes < 30, passes + " passes for 60 clients");
        }
    }

    /**
     * A drain message that arrived during the stall counts from its arrival: its grace is over when the loop continues.
     */
    @Test
    void aNodeThatStartsToDrainDuringAStallGetsNoNewRequests() throws Exception {
        FakeServer drains = FakeServer.answering(FakeServer.OK);
        FakeServer stays = FakeServer.answering(FakeServer.OK);
        String before = ready("s-1", drains) + "," + ready("s-2", stays);
        CountDownLatch sendDrain = new CountDownLatch(1);
        CountDownLatch drainSent = new CountDownLatch(1);
        FakeServer agent = new FakeServer(connection -> {
            connection.read();
            SidecarRig.answerList(connection, SidecarRig.list(9, before));
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            sendDrain.await();
            String line = SidecarRig.list(10, SidecarRig.host("s-1", drains.address(), "Terminating"))
                            .replace("true", "false")
                    + "\n";
            connection.write(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
            drainSent.countDown();
            connection.read();
        });
        try (drains;
                stays;
                agent;
                SidecarRig rig = new SidecarRig(dir, agent.address(), before, options)) {
            warm(rig, drains, stays);
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                clients.add(rig.client());
                assertTrue(clients.get(i).write(SidecarRig.read("w" + i)).read().endsWith("body"));
            }
            Thread.sleep(100);
            drains.requests.clear();
            halt(rig);
            for (int i = 0; i < 12; i++) {
                clients.get(i).write(SidecarRig.read("r" + i));
            }
            sendDrain.countDown();
            drainSent.await();
            endStall();
            for (Client each : clients) {
                assertTrue(each.read().endsWith("body"));
            }
            assertTrue(drains.requests.isEmpty(), "sent to a draining node: " + drains.requests);
        }
    }
}
