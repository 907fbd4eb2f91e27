package ivybank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpMethod;
import ivybank.discovery.Node;
import ivybank.exchange.ClientRequest;
import ivybank.policy.Balancer.Outcome;
import ivybank.testing.FakeServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests nodes that answer a request twice: no request may get the answer of another one. */
@Timeout(20)
class SecondAnswersTest extends UpstreamPoolTestBase {

    /**
     * A connection rests for 30 ms after an answer. The rest does not cover a second answer that is written later than this.
     */
    private static final long MAX_SECOND_ANSWER_DELAY_MS = 29;

    private static final int MAX_TRIES = 20;

    private static ClientRequest requestWithId(String id) {
        return new ClientRequest(HttpMethod.GET, "/r", id, null, new byte[0], 0, 0, false, 0, 6000, null, null);
    }

    private static void stallLoop(CountDownLatch until, long minMs) {
        try {
            assertTrue(until.await(10, TimeUnit.SECONDS));
            Thread.sleep(minMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends a second request after the first one's answer, in the same pass of the event loop, which stalls in between for longer
     * than any rest.
     */
    private List<Sent> sendAfterStall(Node node, CountDownLatch answered, CountDownLatch until) {
        Sent second = new Sent();
        second.attempt = attempt(node, second);
        Sent first = new Sent();
        first.attempt = new UpstreamAttempt(node, request(HttpMethod.POST, new byte[1]), LONG_MS, ending -> {
            first.ending.complete(ending);
            loop.execute(() -> {
                answered.countDown();
                stallLoop(until, 40);
                pool.send(second.attempt);
            });
        });
        loop.execute(() -> pool.send(first.attempt));
        return List.of(first, second);
    }

    private void sendBehindAnUnreadAnswer(int lateMs, String before, String after) throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch late = new CountDownLatch(1);
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            connection.write(FakeServer.OK);
            if (late.getCount() > 0) {
                answered.await();
                Thread.sleep(lateMs);
                connection.write(before);
                late.countDown();
            }
            connection.read(); // the next request, or the end
            connection.write(after);
        })) {
            List<Sent> both = sendAfterStall(node(server.address()), answered, late);
            assertBody(both.get(0), "the first");
            assertBody(both.get(1), lateMs + " ms late, cut at " + before.length());
            assertEquals(2, server.accepted.size(), "the connection with two answers is not used again");
        }
    }

    @Test
    void inputRightBehindAnAnswerIsNotTheNextRequestsAnswer() throws Exception {
        for (String surplus :
                List.of(FakeServer.OK.replace("body", "evil"), "HTTP/1.1 200", "noise", "\r\n\r\nnoise")) {
            try (FakeServer server = new FakeServer(connection -> {
                connection.read();
                connection.write(FakeServer.OK + surplus);
                connection.read();
            })) {
                Node node = node(server.address());
                // The second request is sent as soon as the first one has ended, as the decision module may do.
                Sent second = new Sent();
                second.attempt = attempt(node, second);
                Sent first = new Sent();
                first.attempt = new UpstreamAttempt(node, request(HttpMethod.POST, new byte[1]), LONG_MS, ending -> {
                    pool.send(second.attempt);
                    first.ending.complete(ending);
                });
                loop.execute(() -> pool.send(first.attempt));
                assertEquals("body", new String(first.ending.get().body(), StandardCharsets.UTF_8));
                assertEquals(Outcome.OK, second.outcome());
                assertEquals("body", new String(second.ending.get().body(), StandardCharsets.UTF_8));
                assertEquals(2, server.accepted.size(), surplus);
            }
        }
    }

    @Test
    void laterUnexpectedInputClosesTheIdleConnection() throws Exception {
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            connection.write(FakeServer.OK);
            connection.requests.take(); // the request itself
            connection.requests.take(); // the signal of the test
            connection.write("x");
            connection.read();
        })) {
            assertEquals(Outcome.OK, send(node(server.address()), LONG_MS).outcome());
            assertEquals(1, onLoop(pool::open));
            server.requests.add("go on");
            while (onLoop(pool::open) > 0) {
                Thread.sleep(5);
            }
        }
    }

    /**
     * Sends the next request as soon as the first one has been answered; the second answer follows. The try is repeated where the
     * server's own clock says that it wrote later than {@link #MAX_SECOND_ANSWER_DELAY_MS}, which the rest does not cover.
     */
    @Test
    void aSecondAnswerSomeMillisecondsLateIsNotTheNextRequestsAnswer() throws Exception {
        for (int lateMs : new int[] {1, 5, 12, 25}) {
            boolean inTime = false;
            for (int attemptNumber = 0; attemptNumber < MAX_TRIES && !inTime; attemptNumber++) {
                inTime = secondAnswerIsNotTheNextRequests(lateMs);
            }
            assertTrue(inTime, "the server was too late each time, " + lateMs + " ms");
        }
    }

    /**
     * Returns whether the second answer was written in time; if so, asserts that it was not taken for the next request's.
     */
    private boolean secondAnswerIsNotTheNextRequests(int lateMs) throws Exception {
        AtomicLong tookNs = new AtomicLong(Long.MAX_VALUE);
        try (FakeServer server = new FakeServer(connection -> {
            for (int i = 0; connection.read() != null; i++) {
                long answeredNs = System.nanoTime();
                connection.write(FakeServer.OK);
                Thread.sleep(lateMs);
                if (i == 0) {
                    connection.write(FakeServer.OK.replace("body", "evil"));
                    tookNs.accumulateAndGet(System.nanoTime() - answeredNs, Math::min);
                }
            }
        })) {
            Node node = node(server.address());
            Sent second = new Sent();
            second.attempt = attempt(node, second);
            Sent first = new Sent();
            first.attempt = new UpstreamAttempt(node, request(HttpMethod.POST, new byte[1]), LONG_MS, ending -> {
                pool.send(second.attempt); // at once, as the decision module may do
                first.ending.complete(ending);
            });
            loop.execute(() -> pool.send(first.attempt));
            assertEquals(Outcome.OK, first.outcome());
            Outcome outcome = second.outcome();
            if (tookNs.get() > TimeUnit.MILLISECONDS.toNanos(MAX_SECOND_ANSWER_DELAY_MS)) {
                return false;
            }
            assertEquals(Outcome.OK, outcome);
            assertEquals("body", new String(second.ending.get().body(), StandardCharsets.UTF_8), lateMs + " ms late");
            assertEquals(2, server.accepted.size(), "the connection with two answers is not used again");
            return true;
        }
    }

    @Test
    void aSecondAnswerIsNeverTheNextRequestsWhereSpareConnectionsAreOpened() throws Exception {
        for (int lateMs : new int[] {0, 1, 10, 24, 29}) {
            pool = poolWithSpares(100, LONG_MS, 8);
            try (FakeServer server = new FakeServer(connection -> {
                for (int i = 0; connection.read() != null; i++) {
                    connection.write(FakeServer.OK);
                    Thread.sleep(lateMs);
                    connection.write(i == 0 ? FakeServer.OK.replace("body", "evil") : "");
                }
            })) {
                for (Sent sent : sendInTurn(node(server.address()), LONG_MS)) {
                    assertBody(sent, lateMs + " ms late");
                }
                assertEquals(2, server.accepted.size(), "a spare one was opened");
            }
        }
    }

    /**
     * The event loop stalls until the connection has rested and the second answer, or a part of it, is buffered in its socket: then
     * the rest alone does not protect the next request.
     */
    @Test
    void anUnreadSecondAnswerIsFoundBeforeTheNextRequestIsWritten() throws Exception {
        String evil = FakeServer.OK.replace("body", "evil");
        for (int lateMs : new int[] {0, 1, 10, 24, 29}) {
            for (int cutAt : new int[] {1, evil.length() / 2, evil.length()}) {
                sendBehindAnUnreadAnswer(lateMs, evil.substring(0, cutAt), evil.substring(cutAt));
            }
        }
    }

    /**
     * The next request must not be sent on a connection that its node has closed, even if the close has not been read yet.
     */
    @Test
    void anUnreadCloseIsFoundBeforeTheNextRequestIsWritten() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            connection.write(FakeServer.OK);
            if (ended.getCount() > 0) {
                connection.socket.close();
                ended.countDown();
            }
        })) {
            List<Sent> both = sendAfterStall(node(server.address()), new CountDownLatch(1), ended);
            assertBody(both.get(0), "the first");
            assertBody(both.get(1), "on a new connection");
        }
    }

    @Test
    void eachRequestOfABurstGetsItsOwnAnswer() throws Exception {
        pool = poolWithSpares(100, 30, 8);
        try (FakeServer server = new FakeServer(connection -> {
            for (String request = connection.read(); request != null; request = connection.read()) {
                String id = request.replaceAll("(?s).*X-Call-Id: (\\w+).*", "$1");
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id);
            }
        })) {
            Node node = node(server.address());
            for (int burst = 0; burst < 3; burst++) {
                List<Sent> all = new ArrayList<>();
                for (int i = 0; i < 20; i++) {
                    Sent sent = new Sent();
                    sent.attempt = new UpstreamAttempt(
                            node, requestWithId("r" + burst + "x" + i), LONG_MS, sent.ending::complete);
                    all.add(sent);
                }
                loop.execute(() -> all.forEach(sent -> pool.send(sent.attempt)));
                for (Sent sent : all) {
                    assertEquals(Outcome.OK, sent.outcome());
                    assertEquals(
                            sent.attempt.request.callId(),
                            new String(sent.ending.get().body(), StandardCharsets.UTF_8));
                }
            }
            assertTrue(onLoop(pool::opened) <= 20 + 8, "opened: " + onLoop(pool::opened));
        }
    }
}
