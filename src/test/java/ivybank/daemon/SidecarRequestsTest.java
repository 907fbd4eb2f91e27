package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.common.Clock;
import ivybank.testing.FakeServer;
import ivybank.testing.HaltingLines;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how a sidecar parses requests, and how requests and attempts end. */
@Timeout(30)
class SidecarRequestsTest extends SidecarTestBase {

    @Test
    void answersMalformedInputAndKeepsServing() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client client = client();
        assertEquals(404, client.status("GET /other HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n\r\n"));
        assertEquals(404, client.status("GET /reader HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n\r\n"));
        assertEquals(400, client.status("GET /read HTTP/1.1\r\nX-Budget-Ms: 100\r\n\r\n"));
        assertEquals(400, client.status("GET /read HTTP/1.1\r\nX-Call-Id: c\r\n\r\n"));
        assertEquals(400, client.status("GET /read HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: soon\r\n\r\n"));
        assertEquals(400, client.status("GET /read HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: -5\r\n\r\n"));
        assertEquals(405, client.status("GET /submit HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n\r\n"));
        assertEquals(
                413,
                client().status("POST /submit HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n"
                        + "Content-Length: 40000000\r\n\r\n"),
                "refused before the body arrives");
        assertEquals(
                417,
                client().status("POST /submit HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 100\r\n"
                        + "Expect: a-miracle\r\nContent-Length: 7\r\n\r\n"));
        for (String head : List.of(
                "X-Budget-Ms: +5",
                "X-Budget-Ms: 1e3",
                "X-Budget-Ms: 99999999999",
                "X-Budget-Ms: 50\r\nX-Budget-Ms: 50",
                "X-Budget-Ms: 50\r\nX-Call-Id: d",
                "X-Budget-Ms: 50\r\nContent-Length: 1" + "\r\nX: ",
                "X-Budget-Ms: 50\r\nIdempotency-Key: a b")) {
            assertEquals(400, client().status("GET /read HTTP/1.1\r\nX-Call-Id: c\r\n" + head + "\r\n\r\nx"), head);
        }
        assertEquals(400, client().status("GET /read HTTP/1.1\r\nX-Call-Id: c d\r\nX-Budget-Ms: 50\r\n\r\n"));
        assertEquals(400, client().status("GET /read?obj=\u00e9 HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 50\r\n\r\n"));
        assertEquals(400, client().status("\u0001\u0002 no HTTP\r\n\r\n"));
        assertTrue(upstream.requests.isEmpty());
        assertTrue(client.ask(read(3000)).endsWith("body"));
    }

    @Test
    void ambiguousFramingIsRejectedAndNothingBehindItIsRead() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        for (String head : List.of(
                "Content-Length: 5\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 5",
                "Content-Length: 5\r\nContent-Length: 5",
                "Content-Length: 5, 5",
                "Content-Length: +5",
                "Content-Length: -5",
                "Content-Length: 0x5",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: xchunked",
                "Content-Length : 5")) {
            Client client = client();
            client.write("POST /submit HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 900\r\n" + head + "\r\n\r\n"
                    + "0\r\n\r\n" + read(900));
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 400"), head + ": " + answer);
            assertNull(client.readOrReset(), head);
        }
        assertTrue(upstream.requests.isEmpty());
    }

    @Test
    void malformedRequestsAreAnsweredInOrder() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            proceed.await();
            connection.write(FakeServer.OK);
        }));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client client = client();
        client.write(read(3000));
        assertNotNull(upstream.nextRequest());
        client.write("POST /submit HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n");
        assertEquals(409, client().status(read(3000)), "the id is in use");
        proceed.countDown();
        assertTrue(client.read().startsWith("HTTP/1.1 200"));
        assertTrue(client.read().startsWith("HTTP/1.1 413"));
        assertNull(client.readOrReset());
    }

    @Test
    void partialRequestsAreAnsweredInTime() throws Exception {
        start(FakeServer.nobody(), host("s-1", FakeServer.nobody(), "Ready"));
        Client halfHead = client();
        halfHead.write("GET /read HTTP/1.1\r\nX-");
        Client halfBody = client();
        halfBody.write("POST /submit HTTP/1.1\r\nContent-Length: 10\r\n\r\nhello");
        Client second = client();
        second.write(ready() + "GET /re");
        assertTrue(second.read().startsWith("HTTP/1.1 200"));
        for (Client client : List.of(halfHead, halfBody, second)) {
            assertTrue(client.read().startsWith("HTTP/1.1 408"));
            assertNull(client.readOrReset());
        }
    }

    @Test
    void requestsThatArriveDuringAStallAreServedAndTheirConnectionsKept() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        CountDownLatch fail = new CountDownLatch(1);
        FakeServer discovery = serve(new FakeServer(connection -> {
            connection.read();
            answerList(connection, 4, host("s-1", upstream.address(), "Ready"));
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
            fail.await();
            connection.write("0\r\n\r\n");
            connection.read();
        }));
        CountDownLatch halted = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        logLines = HaltingLines.at("the watch has ended", halted, proceed);
        start(discovery.address(), host("s-1", upstream.address(), "Ready"));
        Client silent = client();
        Client partial = client();
        partial.write(read(3000).substring(0, 20));
        Client used = client();
        assertEquals(200, used.status(read(3000)));
        fail.countDown();
        halted.await();
        // During the stall each client sends the missing data, and the clock advances until all three seem unused.
        silent.write(read(3000).replace("Id: c", "Id: c1"));
        partial.write(read(3000).substring(20).replace("Id: c", "Id: c2"));
        used.write(read(3000).replace("Id: c", "Id: c3"));
        aheadNanos.set(TimeUnit.SECONDS.toNanos(15));
        Thread.sleep(300); // until the next check for unused connections is overdue
        proceed.countDown();
        assertTrue(used.read().endsWith("body"));
        assertTrue(partial.read().endsWith("body"));
        assertTrue(silent.read().endsWith("body"));
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            connection.reset();
        }));
        start(
                FakeServer.nobody(),
                host("s-1", upstream.address(), "Ready") + "," + host("s-2", upstream.address(), "Ready"));
        int status = client().status(submit(3000));
        assertTrue(status >= 500 && status != 503, "failed, not refused: " + status);
        assertEquals(1, upstream.requests.size());
    }

    @Test
    void aRejectedUnsafeRequestIsSentToAnotherUpstream() throws Exception {
        FakeServer busy = serve(FakeServer.answering(FakeServer.REJECTED));
        FakeServer free = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", busy.address(), "Ready") + "," + host("s-2", free.address(), "Ready"));
        Client client = client();
        for (int i = 0; i < 4; i++) {
            assertEquals(200, client.status(submit(3000)));
        }
        assertEquals(4, free.requests.size());
    }

    @Test
    void aRefusalIsImmediateAndHasRetryAfter() throws Exception {
        start(FakeServer.nobody(), host("s-1", FakeServer.nobody(), "Ready"));
        long startedNs = System.nanoTime();
        String answer = client().ask(submit(6000));
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 1.5\r\n"), answer);
        assertTrue(System.nanoTime() - startedNs < TimeUnit.MILLISECONDS.toNanos(3000), "well before its deadline");
    }

    @Test
    void aSilentUpstreamEndsInOneAnswerBeforeTheDeadline() throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            Thread.sleep(10_000);
        }));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        long startedNs = System.nanoTime();
        int status = client().status(submit(1500));
        assertTrue(status >= 500 && status != 503, "it may have run: " + status);
        assertTrue(System.nanoTime() - startedNs < TimeUnit.MILLISECONDS.toNanos(3000), "not at its aim");
    }

    @Test
    void aClientThatDisconnectsCancelsItsRequest() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            assertNull(connection.read());
            closed.countDown();
        }));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client client = client();
        client.write(read(5000));
        assertNotNull(upstream.nextRequest());
        client.close();
        assertTrue(closed.await(2, TimeUnit.SECONDS));
    }

    @Test
    void aClassIsMatchedByItsFullNameAlsoWhenEscaped() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        assertEquals(200, client().status(read(3000).replace("/read?", "/r%65ad?")));
        assertTrue(upstream.nextRequest().startsWith("GET /r%65ad?obj=1 HTTP/1.1"), "the path is forwarded unchanged");
        assertEquals(404, client().status(read(3000).replace("/read?", "/rea?")));
        assertEquals(404, client().status(read(3000).replace("/read?", "/read-2?")));
        assertEquals(404, client().status(read(3000).replace("/read?", "/read%2Dx?")));
    }

    @Test
    void theWarmUpCompletesTheWholeRequestPath() throws Exception {
        // A warm-up that stalled after seven requests left a new sidecar cold for its first clients.
        assertTrue(Warmup.run(
                Config.load(Map.of(
                                "EDGE_CONFIG",
                                config(FakeServer.nobody(), "", 99).toString()))
                        .settings(),
                8_000));
    }

    @Test
    void theClockAdvancesFromUnixTimeByTheMonotonicClock() {
        long[] nanos = {5_000_000};
        Clock clock = new Clock(1_700_000_000_000L, () -> nanos[0]);
        assertEquals(1_700_000_000_000.0, clock.nowMs());
        nanos[0] += 2_500_000;
        assertEquals(1_700_000_000_002.5, clock.nowMs());
    }
}
