package ivybank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.discovery.Node;
import ivybank.policy.Balancer.Outcome;
import ivybank.tally.Stage;
import ivybank.tally.Tally;
import ivybank.testing.FakeServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections to nodes: which is used again, how long it rests, and how many there are. */
@Timeout(20)
class ConnectionReuseTest extends UpstreamPoolTestBase {

    @Test
    void aConnectionToAnAddressThatTheNodeHasLeftIsNotUsedAgain() throws Exception {
        try (FakeServer old = new FakeServer(connection -> {
                    connection.read();
                    connection.requests.take();
                    connection.requests.take();
                    connection.write(FakeServer.OK);
                    connection.read();
                });
                FakeServer next = FakeServer.answering(FakeServer.OK)) {
            Node node = node(old.address());
            Sent sent = send(node, LONG_MS);
            onLoop(() -> node.address = next.address());
            old.requests.add("go on");
            assertEquals(Outcome.OK, sent.outcome());
            assertEquals(Outcome.OK, send(node, LONG_MS).outcome());
            assertEquals(1, next.accepted.size());
        }
    }

    @Test
    void aConnectionIsUsedAgainAndByOneRequestAtATime() throws Exception {
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            Node node = node(server.address());
            for (int i = 0; i < 3; i++) {
                assertEquals(Outcome.OK, send(node, LONG_MS).outcome());
            }
            assertEquals(1, server.accepted.size());
            List<Sent> both = List.of(send(node, LONG_MS), send(node, LONG_MS));
            for (Sent sent : both) {
                assertEquals(Outcome.OK, sent.outcome());
            }
            assertTrue(onLoop(pool::opened) <= 2);
        }
    }

    @Test
    void aConnectionThatTheUpstreamEndsIsNotUsedAgain() throws Exception {
        try (FakeServer server =
                FakeServer.answering(FakeServer.OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"))) {
            Node node = node(server.address());
            assertEquals(Outcome.OK, send(node, LONG_MS).outcome());
            assertEquals(Outcome.OK, send(node, LONG_MS).outcome());
            assertEquals(2, server.accepted.size());
        }
    }

    @Test
    void aPooledConnectionThatDiedIdleIsNotTaken() throws Exception {
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            connection.write(FakeServer.OK);
            connection.reset();
        })) {
            Node node = node(server.address());
            assertEquals(Outcome.OK, send(node, LONG_MS).outcome());
            while (onLoop(pool::open) > 0) {
                Thread.sleep(5);
            }
            assertEquals(Outcome.OK, send(node, LONG_MS).outcome());
        }
    }

    @Test
    void idleConnectionsCloseInTime() throws Exception {
        pool = pool(100, 200);
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            connection.write(FakeServer.OK);
            assertNull(connection.read());
            connection.requests.add("closed");
        })) {
            assertEquals(Outcome.OK, send(node(server.address()), LONG_MS).outcome());
            assertNotNull(server.nextRequest());
            assertEquals("closed", server.nextRequest());
        }
    }

    @Test
    void aConnectionThatHasRestedIsTakenFirstAndOneThatRestsIsWaitedForRatherThanAnotherOpened() throws Exception {
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            Node node = node(server.address());
            for (int i = 0; i < 5; i++) {
                assertEquals(Outcome.OK, send(node, LONG_MS).outcome());
            }
            assertEquals(1, server.accepted.size());
        }
    }

    @Test
    void aSpareConnectionIsOpenedRatherThanALongRestWaitedForAndNotMoreThanAllowed() throws Exception {
        pool = poolWithSpares(100, LONG_MS, 1);
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            Node node = node(server.address());
            for (Sent sent : sendInTurn(node, LONG_MS)) {
                assertBody(sent, "on a connection of its own");
            }
            assertEquals(2, server.accepted.size());
            assertEquals(Outcome.CONNECT_FAILED, send(node, 100).outcome(), "both rest, and there may be no more");
            assertEquals(2, server.accepted.size());
        }
    }

    @Test
    void whatAnAttemptWaitedForIsCountedAsItsStage() throws Exception {
        Map<Stage, List<Double>> took = new ConcurrentHashMap<>();
        pool = poolWithSpares(100, 200, 0);
        pool.setTally(new Tally() {
            @Override
            public void stageCompleted(Stage stage, double ms) {
                took.computeIfAbsent(stage, unseen -> new CopyOnWriteArrayList<>())
                        .add(ms);
            }
        });
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            Node node = node(server.address());
            for (Sent sent : sendInTurn(node, LONG_MS)) {
                assertBody(sent, "the first opens, the second waits");
            }
            Thread.sleep(250);
            assertBody(send(node, LONG_MS), "the third finds it rested");
        }
        assertEquals(1, took.get(Stage.CONNECT).size());
        assertEquals(1, took.get(Stage.REST).size());
        assertTrue(took.get(Stage.REST).get(0) >= 190, "waited for " + took.get(Stage.REST));
        assertEquals(1, took.get(Stage.REUSE).size());
        assertEquals(3, took.get(Stage.FIRST_BYTE).size());
        assertEquals(3, took.get(Stage.ANSWER_READ).size());
    }

    @Test
    void whatARequestDidNotNeedInTheEndIsUsedByTheNext() throws Exception {
        pool = poolWithSpares(100, 30, 8);
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            Node node = node(server.address());
            for (int i = 0; i < 10; i++) {
                for (Sent sent : sendInTurn(node, LONG_MS)) {
                    assertBody(sent, "pair " + i);
                }
                Thread.sleep(35);
            }
            assertEquals(2, server.accepted.size());
        }
    }

    @Test
    void atANodeThatRefusesFurtherConnectionsTheRestIsWaitedFor() throws Exception {
        pool = poolWithSpares(100, 30, 8);
        ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Node node = node((InetSocketAddress) listener.getLocalSocketAddress());
        List<Sent> both = sendInTurn(node, LONG_MS);
        try (Socket only = listener.accept()) {
            listener.close(); // from now on nobody accepts
            FakeServer.Connection connection = new FakeServer.Connection(only, new LinkedBlockingQueue<>());
            for (Sent sent : both) {
                assertNotNull(connection.read());
                connection.write(FakeServer.OK);
                assertBody(sent, "on the one connection that there is");
            }
            assertEquals(2, onLoop(pool::opened), "a spare one was tried");
        }
    }

    /** The node's table has one place left: what is opened beyond it costs one attempt, and then no other. */
    @Test
    void aNodeThatTurnsAwayIsLeftItsSpareConnections() throws Exception {
        pool = poolWithSpares(100, 1000, 8);
        AtomicInteger accepted = new AtomicInteger();
        try (FakeServer server = new FakeServer(connection -> {
            boolean first = accepted.getAndIncrement() == 0;
            while (connection.read() != null) {
                connection.write(first ? FakeServer.OK : FakeServer.REJECTED);
            }
        })) {
            Node node = node(server.address());
            List<Sent> both = sendInTurn(node, LONG_MS);
            assertBody(both.get(0), "the first");
            assertEquals(Outcome.REJECTED, both.get(1).outcome());
            assertBody(send(node, LONG_MS), "the rest was waited for and no spare one opened again");
            assertEquals(2, server.accepted.size());
            assertEquals(1, onLoop(pool::open), "and the one that was is closed");
        }
    }

    @Test
    void withoutRoomForSpareConnectionsTheRestIsWaitedFor() throws Exception {
        pool = poolWithSpares(1, 30, 8);
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            for (Sent sent : sendInTurn(node(server.address()), LONG_MS)) {
                assertBody(sent, "on the one connection that is allowed");
            }
            assertEquals(1, server.accepted.size());
        }
    }

    @Test
    void whatWaitsForAConnectionThatRestsEndsWithItsNodesDrainOrItsOwnTime() throws Exception {
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            Node node = node(server.address());
            assertEquals(Outcome.OK, send(node, LONG_MS).outcome());
            Sent drained = onLoop(() -> {
                Sent waits = new Sent();
                waits.attempt = attempt(node, waits);
                pool.send(waits.attempt);
                node.ready = false;
                pool.closeIdle(node);
                return waits;
            });
            assertEquals(Outcome.NOT_SENT, drained.outcome());
            assertEquals(1, server.requests.size());
            assertEquals(0, onLoop(pool::open));
        }
    }

    @Test
    void aDrainedNodesIdleConnectionsClose() throws Exception {
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            Node node = node(server.address());
            assertEquals(Outcome.OK, send(node, LONG_MS).outcome());
            onLoop(() -> {
                pool.closeIdle(node);
                return null;
            });
            while (onLoop(pool::open) > 0) {
                Thread.sleep(5);
            }
            assertFalse(onLoop(() -> pool.open() > 0));
        }
    }

    @Test
    void whatTheClientHoldsOfTheDescriptorsIsNotOpened() throws Exception {
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            onLoop(() -> {
                for (int i = 0; i < 200; i++) {
                    descriptors.acquire();
                }
                return null;
            });
            assertEquals(Outcome.NOT_SENT, send(node(server.address()), LONG_MS).outcome());
            onLoop(() -> {
                descriptors.release();
                return null;
            });
            assertEquals(Outcome.OK, send(node(server.address()), LONG_MS).outcome());
        }
    }

    @Test
    void atItsBoundTheOldestIdleConnectionMakesRoomAndElseNothingIsSent() throws Exception {
        pool = pool(1, 10_000);
        try (FakeServer quick = FakeServer.answering(FakeServer.OK);
                FakeServer silent = new FakeServer(connection -> Thread.sleep(10_000))) {
            assertEquals(Outcome.OK, send(node(quick.address()), LONG_MS).outcome());
            Sent held = send(node(silent.address()), 500);
            assertEquals(Outcome.NOT_SENT, send(node(quick.address()), LONG_MS).outcome());
            assertEquals(Outcome.TIMEOUT, held.outcome());
        }
    }
}
