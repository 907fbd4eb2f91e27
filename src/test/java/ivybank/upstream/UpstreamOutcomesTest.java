package ivybank.upstream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import ivybank.discovery.Node;
import ivybank.exchange.Answer;
import ivybank.exchange.BodyPipe;
import ivybank.policy.Balancer.Outcome;
import ivybank.testing.FakeServer;
import ivybank.testing.LateListener;
import ivybank.upstream.UpstreamAttempt.Ending;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the outcome of an attempt on a real socket for each way to end, by the table of the protocol. */
@Timeout(20)
class UpstreamOutcomesTest extends UpstreamPoolTestBase {

    private Outcome outcomeOfBroken(String part) throws Exception {
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            connection.write(part);
            connection.socket.close();
        })) {
            return send(node(server.address()), LONG_MS).outcome();
        }
    }

    private Outcome outcomeOf(String answer) throws Exception {
        try (FakeServer server = FakeServer.answering(answer)) {
            return send(node(server.address()), LONG_MS).outcome();
        }
    }

    @Test
    void aSuccessfulAnswerIsCompleteWithItsLoadReport() throws Exception {
        try (FakeServer server = FakeServer.answering("HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n"
                + "X-Load-Report: TEXT rps=7.5, cpu=0.25, other=1\r\nContent-Length: 4\r\n\r\nbody")) {
            long fromNanos = System.nanoTime();
            Sent sent = send(node(server.address()), 1234.5);
            assertEquals(Outcome.OK, sent.outcome());
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fromNanos) + 1;
            Ending ending = sent.ending.get();
            assertEquals("body", new String(ending.body(), StandardCharsets.UTF_8));
            assertEquals("text/x", ending.contentType());
            assertArrayEquals(new double[] {7.5, 0.25}, ending.report());
            String request = server.nextRequest();
            assertTrue(request.startsWith("POST /report-read?obj=a%20b&x=1 HTTP/1.1\r\n"), request);
            assertTrue(request.contains("X-Call-Id: c1\r\n"), request);
            int budgetMs = Integer.parseInt(request.replaceAll("(?s).*X-Budget-Ms: (\\d+)\r\n.*", "$1"));
            assertTrue(budgetMs >= 1234 - tookMs && budgetMs <= 1234, "the remaining time of the attempt: " + request);
            assertTrue(request.endsWith("\r\n\r\nhello"), request);
        }
    }

    @Test
    void anAnswerSplitAtEveryByteIsTheSame() throws Exception {
        String answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n";
        try (FakeServer server = new FakeServer(connection -> {
            connection.socket.setTcpNoDelay(true);
            connection.read();
            for (int i = 0; i < answer.length(); i++) {
                connection.write(answer.substring(i, i + 1));
                Thread.sleep(1);
            }
        })) {
            Sent sent = send(node(server.address()), LONG_MS);
            assertEquals(Outcome.OK, sent.outcome());
            assertEquals("body", new String(sent.ending.get().body(), StandardCharsets.UTF_8));
        }
    }

    @Test
    void theOutcomeFollowsStatusAndProof() throws Exception {
        assertEquals(Outcome.REJECTED, outcomeOf(FakeServer.REJECTED));
        assertEquals(Outcome.REJECTED, outcomeOf(FakeServer.REJECTED.replace("503", "504")));
        assertEquals(Outcome.ERROR, outcomeOf("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"));
        // The header that proves a rejection is valid with 503 and 504 only.
        assertEquals(Outcome.ERROR, outcomeOf(FakeServer.REJECTED.replace("503", "500")));
        assertEquals(Outcome.ERROR, outcomeOf("HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n"));
        assertEquals(Outcome.ERROR, outcomeOf("HTTP/1.1 302 There\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"));
    }

    @Test
    void aTruncatedOversizedOrMalformedAnswerIsNotServed() throws Exception {
        assertEquals(Outcome.RESET, outcomeOfBroken("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"));
        assertEquals(Outcome.RESET, outcomeOfBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo"));
        assertEquals(Outcome.RESET, outcomeOfBroken("HTTP/1.1 200 OK\r\n\r\nbody"), "the end was not announced");
        assertEquals(Outcome.RESET, outcomeOfBroken(""));
        assertEquals(Outcome.RESET, outcomeOfBroken("no such thing\r\n\r\n"));
        assertEquals(
                Outcome.RESET,
                outcomeOfBroken("HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n" + "x".repeat(70_000)));
    }

    @Test
    void anAnswerWithoutAClearEndFailsAtOnceAndMayHaveRun() throws Exception {
        for (String head : List.of(
                "Content-Length: 4\r\nContent-Length: 4",
                "Content-Length: 4\r\nContent-Length: 5",
                "Content-Length: 4\r\nTransfer-Encoding: chunked",
                "Content-Length: -4",
                "Content-Length: 4x",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Content-Length: 3000000000",
                "X-Other: 1",
                "no colon here\r\nContent-Length: 4",
                "X-Other : 1\r\nContent-Length: 4")) {
            // The connection stays open, so only the input can end the attempt before its timeout.
            assertEquals(Outcome.RESET, outcomeOf("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\nbody"), head);
        }
        assertEquals(Outcome.RESET, outcomeOf("HTTP/1.1 103 Hints\r\n\r\n".repeat(1000)));
        assertEquals(Outcome.RESET, outcomeOf("HTTP/1.1 200 OK\r\nX: " + "y".repeat(20_000)));
    }

    @Test
    void anInvalidLoadReportIsIgnored() {
        LoadReport reports = new LoadReport(List.of("rps", "cpu"));
        assertArrayEquals(new double[] {7.5, 0.25}, reports.read(List.of("TEXT cpu=0.25, rps=7.5, other=x")));
        for (String text : List.of(
                "TEXT rps=NaN, cpu=1",
                "TEXT rps=Infinity, cpu=1",
                "TEXT rps=-1, cpu=1",
                "TEXT rps=1, rps=1, cpu=1",
                "TEXT rps=1",
                "TEXT rps=1, cpu=",
                "JSON rps=1, cpu=1",
                "")) {
            assertEquals(0, reports.read(List.of(text)).length, text);
        }
        assertEquals(0, reports.read(List.of("TEXT rps=1, cpu=1", "TEXT rps=1, cpu=1")).length);
    }

    @Test
    void afterABreakBehindTheLastByteTheRequestMayHaveRun() throws Exception {
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            connection.reset();
        })) {
            assertEquals(Outcome.RESET, send(node(server.address()), LONG_MS).outcome());
        }
    }

    @Test
    void afterABreakBeforeTheLastByteTheRequestHasNotRun() throws Exception {
        // The body exceeds the buffers of both sides, so its last byte has not been sent at the break.
        byte[] body = new byte[32 << 20];
        try (FakeServer server = new FakeServer(connection -> {
            Thread.sleep(100);
            connection.reset();
        })) {
            assertEquals(
                    Outcome.CONNECT_FAILED,
                    send(node(server.address()), LONG_MS, request(HttpMethod.POST, body))
                            .outcome());
        }
    }

    @Test
    void aTimeoutBeforeTheLastByteProvesThatTheRequestHasNotRun() throws Exception {
        byte[] body = new byte[32 << 20];
        try (FakeServer server = new FakeServer(connection -> Thread.sleep(10_000))) {
            assertEquals(
                    Outcome.CONNECT_FAILED,
                    send(node(server.address()), 150, request(HttpMethod.POST, body))
                            .outcome());
        }
    }

    @Test
    void aRequestWhoseConnectionIsRefusedHasNotRun() throws Exception {
        assertEquals(
                Outcome.CONNECT_FAILED, send(node(FakeServer.nobody()), LONG_MS).outcome());
    }

    @Test
    void anAttemptWhoseConnectionNeverComesUpFails() throws Exception {
        try (LateListener full = new LateListener()) {
            long startedNs = System.nanoTime();
            assertEquals(
                    Outcome.CONNECT_FAILED, send(node(full.address()), LONG_MS).outcome());
            assertTrue(System.nanoTime() - startedNs < TimeUnit.MILLISECONDS.toNanos(3000), "the connect timeout");
            assertEquals(Outcome.CONNECT_FAILED, send(node(full.address()), 50).outcome(), "its own timeout");
        }
    }

    @Test
    void anAttemptAtASilentNodeTimesOutOnceAndClosesItsConnection() throws Exception {
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            assertNull(connection.read(), "the connection is closed to cancel the attempt");
            connection.requests.add("closed");
        })) {
            Sent sent = send(node(server.address()), 100);
            assertEquals(Outcome.TIMEOUT, sent.outcome());
            assertNotNull(server.nextRequest());
            assertEquals("closed", server.nextRequest());
            assertEquals(1, sent.endings.get());
            assertEquals(0, onLoop(pool::open));
        }
    }

    @Test
    void aCancelledAttemptEndsOnceAndClosesItsConnection() throws Exception {
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            connection.read();
            connection.requests.add("closed");
        })) {
            Sent sent = send(node(server.address()), LONG_MS);
            assertNotNull(server.nextRequest());
            onLoop(() -> {
                sent.attempt.stop(Outcome.CANCELLED);
                sent.attempt.stop(Outcome.CANCELLED);
                return null;
            });
            assertEquals(Outcome.CANCELLED, sent.outcome());
            assertEquals("closed", server.nextRequest());
            assertEquals(1, sent.endings.get());
        }
    }

    @Test
    void nothingIsSentToANodeThatDrainsWhileAConnectionComesUp() throws Exception {
        try (FakeServer server = FakeServer.answering(FakeServer.OK)) {
            Node node = node(server.address());
            Sent sent = onLoop(() -> {
                Sent started = new Sent();
                started.attempt = new UpstreamAttempt(
                        node, request(HttpMethod.POST, new byte[0]), LONG_MS, started.ending::complete);
                pool.send(started.attempt);
                node.ready = false;
                return started;
            });
            assertEquals(Outcome.NOT_SENT, sent.outcome());
            assertEquals(Outcome.NOT_SENT, send(node, LONG_MS).outcome());
            assertTrue(server.requests.isEmpty());
        }
    }

    /** A node starts on a request with its last byte, so an earlier answer does not belong to this request. */
    @Test
    void anAnswerBeforeItsRequestIsWrittenIsNotServed() throws Exception {
        byte[] body = new byte[32 << 20]; // exceeds the buffers of both sides
        try (FakeServer server = new FakeServer(connection -> {
            connection.write(FakeServer.OK);
            Thread.sleep(10_000);
        })) {
            Sent sent = send(node(server.address()), LONG_MS, request(HttpMethod.POST, body));
            assertEquals(Outcome.CONNECT_FAILED, sent.outcome());
        }
    }

    @Test
    void anAttemptFollowsANodeThatMovesWhileAConnectionComesUp() throws Exception {
        try (FakeServer old = FakeServer.answering(FakeServer.OK);
                FakeServer next = FakeServer.answering(FakeServer.OK)) {
            Node node = node(old.address());
            Sent sent = onLoop(() -> {
                Sent started = new Sent();
                started.attempt = attempt(node, started);
                pool.send(started.attempt);
                node.address = next.address();
                return started;
            });
            assertEquals(Outcome.OK, sent.outcome());
            assertTrue(old.requests.isEmpty());
            assertEquals(1, next.requests.size());
        }
    }

    /** Guards against a client that waits forever: no other timeout runs once an answer is being forwarded. */
    @Test
    void aLongAnswerThatStallsWhileItIsForwardedEndsIncomplete() throws Exception {
        pool = new UpstreamPool(
                loop,
                clock,
                new UpstreamPool.Limits(10, 250, 10_000, 300, ConnectionReusePolicy.Limits.standard(30, 0)),
                descriptors,
                new LoadReport(List.of()),
                new Bootstrap().channel(UpstreamSocketChannel.class),
                log);
        try (FakeServer server = new FakeServer(connection -> {
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + "x".repeat(200_000));
            connection.read();
        })) {
            Sent sent = new Sent();
            CompletableFuture<Boolean> rest = new CompletableFuture<>();
            sent.attempt = new UpstreamAttempt(
                    node(server.address()), request(HttpMethod.GET, new byte[0]), 200, new UpstreamAttempt.Listener() {
                        @Override
                        public void answerStarted(Answer answer) {
                            answer.remainingBody().attach(new BodyPipe.Sink() {
                                @Override
                                public void write(ByteBuf part, Runnable released) {
                                    part.release();
                                    released.run();
                                }

                                @Override
                                public void ended(boolean whole) {
                                    rest.complete(whole);
                                }
                            });
                        }

                        @Override
                        public void ended(Ending ending) {
                            sent.ending.complete(ending);
                        }
                    });
            loop.execute(() -> pool.send(sent.attempt));
            assertEquals(Outcome.RESET, sent.outcome());
            assertFalse(rest.get(1, TimeUnit.SECONDS), "the client can detect that it is incomplete");
        }
    }
}
