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
 * The event loop stands still (a process that is stopped, a machine that is moved or overloaded) while clients leave and nodes
 * drain: what it finds first when it goes on must not be sent before it has seen the rest.
 */
@Timeout(30)
class HeldUpLoopTest {

    /** More than the 500 ms of a drain; for clients that leave also a little more than the 100 ms after which nothing is sent on. */
    private static final int HELD_UP_MS = 700;

    private static final int SETTLED_MS = 500;

    @TempDir
    Path dir;

    private final SidecarRig.Options options = new SidecarRig.Options();
    private final CountDownLatch halted = new CountDownLatch(1);
    private final CountDownLatch go = new CountDownLatch(1);

    @BeforeEach
    void halts() {
        options.lines = HaltingLines.at("reloading the configuration", halted, go);
    }

    private void halt(SidecarRig rig) throws InterruptedException {
        rig.sidecar.reload();
        halted.await();
    }

    private void goOn() throws InterruptedException {
        goOnAfter(HELD_UP_MS);
    }

    private void goOnAfter(int heldUpMs) throws InterruptedException {
        Thread.sleep(heldUpMs);
        go.countDown();
    }

    private static String ready(String name, FakeServer node) {
        return SidecarRig.host(name, node.address(), "Ready");
    }

    /** Asks until each node has served, so that each has a connection that is up, and has rested. */
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
    void whoAskedAndLeftMeanwhileIsNotSentOn(boolean cancel, int heldUpMs) throws Exception {
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
            for (int i = 0; i < 40; i++) { // one in a pass is let in
                rig.client().write(SidecarRig.read("c" + i)).close();
            }
            Client stays = rig.client().write(SidecarRig.read("stays"));
            goOnAfter(heldUpMs);
            assertTrue(stays.read().endsWith("body"));
            Thread.sleep(SETTLED_MS);
            assertEquals(
                    List.of("stays"),
                    node.requests.stream()
                            .map(request -> request.replaceAll("(?s).*Call-Id: (\\S+).*", "$1"))
                            .toList(),
                    "sent on for who had left");
        }
    }

    /** The node's word is found before the client's end: the next attempt has to wait for the rest. */
    @ParameterizedTest
    @CsvSource({"true, 110", "false, 110", "true, 700", "false, 700"})
    void whoLeftWhileItsAttemptWasTurnedAwayIsNotTriedAgain(boolean cancel, int heldUpMs) throws Exception {
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
            Thread.sleep(20); // the answer is there before the end
            client.close();
            goOnAfter(heldUpMs);
            Thread.sleep(SETTLED_MS);
            assertEquals(1, one.requests.size() + two.requests.size(), "it was sent again");
        }
    }

    @ParameterizedTest
    @CsvSource({"true, 110", "false, 110", "true, 700", "false, 700"})
    void whoLeftWhileItsConnectionCameUpIsNotSentOn(boolean cancel, int heldUpMs) throws Exception {
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
            Socket late = node.next(4000);
            assertNotNull(late);
            client.close();
            goOnAfter(heldUpMs);
            late.setSoTimeout(SETTLED_MS);
            try {
                assertEquals(-1, late.getInputStream().read(), "something was sent on");
            } catch (SocketTimeoutException e) {
                // It stands idle: nothing was sent.
            }
        }
    }

    /** Its time counts from when it came, not from when it was found. */
    @Test
    void whatCameMeanwhileIsAnsweredInItsTime() throws Exception {
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
            goOn();
            assertTrue(client.read().startsWith("HTTP/1.1 50"));
            long tookMs = (System.nanoTime() - fromNanos) / 1_000_000;
            assertTrue(tookMs < 1900, "answered after " + tookMs + " of 1500 ms"); // 2200 if its time began anew
        }
    }

    /**
     * Where passes over the sockets are long, those that come do not wait for as many passes as there are of them: here each pass
     * takes about 30 ms, for as many clients ask without a pause, and each look at the clock takes one.
     */
    @Test
    void onASlowMachineNobodyStandsInTheBacklogForLong() throws Exception {
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
                        // The test is over.
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

    /** A drain that was written to the sidecar while it stood still counts from then on: its grace is over when it goes on. */
    @Test
    void aNodeThatWasToldToDrainMeanwhileGetsNothingNew() throws Exception {
        FakeServer drains = FakeServer.answering(FakeServer.OK);
        FakeServer stays = FakeServer.answering(FakeServer.OK);
        String before = ready("s-1", drains) + "," + ready("s-2", stays);
        CountDownLatch tell = new CountDownLatch(1);
        CountDownLatch told = new CountDownLatch(1);
        FakeServer agent = new FakeServer(connection -> {
            connection.read();
            SidecarRig.answerList(connection, SidecarRig.list(9, before));
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            tell.await();
            String line = SidecarRig.list(10, SidecarRig.host("s-1", drains.address(), "Terminating"))
                            .replace("true", "false")
                    + "\n";
            connection.write(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
            told.countDown();
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
            tell.countDown();
            told.await();
            goOn();
            for (Client each : clients) {
                assertTrue(each.read().endsWith("body"));
            }
            assertTrue(drains.requests.isEmpty(), "sent to a node that drains: " + drains.requests);
        }
    }
}
