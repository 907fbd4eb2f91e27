package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Nodes that begin a short answer and do not bring it to its end. */
@Timeout(60)
class UnfinishedAnswerTest {

    /** How the head of an answer says where its body ends. */
    private enum Framing {
        LENGTH("Content-Length: 4096"),
        CHUNKS("Transfer-Encoding: chunked"),
        CLOSE("Connection: close");

        final String field;

        Framing(String field) {
            this.field = field;
        }

        String part(String bytes) {
            return this == CHUNKS ? Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n" : bytes;
        }
    }

    private static final int UPSTREAMS = 3;
    private static final int HEAD_AFTER_MS = 100;
    private static final int PIECE_BYTES = 300;
    private static final int PIECE_MS = 200;
    private static final int PIECES_BEFORE_STOP = 3;
    private static final int BUDGET_MS = 1500;
    /** Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer on sockets. */
    private static final int LATE_MS = 550;

    private static final int LONG_BODY_BYTES = 153_213;
    private static final int LONG_BEGIN_BYTES = 50_000;
    /** So late the node goes on at the most, for its play to count: well before an answer that may be short is ended. */
    private static final int MAX_PAUSE_MS = BUDGET_MS + 100;

    private static final int MAX_PLAYS = 5;
    private static final int LONG_STEP_BYTES = 1000;
    private static final int LONG_STEP_MS = 25;
    private static final int WAIT_MS = 12_000;
    /** The process may be killed this long after SIGTERM: the longest deadline, 3 s, and 0.7 s. */
    private static final int KILL_MS = 3700;

    @TempDir
    Path folder;

    /** Writes pieces without an end, or stops after some of them. */
    private static void answer(FakeServer.Connection connection, Framing framing, boolean stops)
            throws IOException, InterruptedException {
        connection.read();
        Thread.sleep(HEAD_AFTER_MS);
        connection.write("HTTP/1.1 200 OK\r\n" + framing.field + "\r\n\r\n");
        for (int piece = 0; !stops || piece < PIECES_BEFORE_STOP; piece++) {
            connection.write(framing.part("x".repeat(PIECE_BYTES)));
            // A node that stops has written its last piece shortly before the end of the request's time.
            Thread.sleep(stops ? BUDGET_MS / PIECES_BEFORE_STOP - HEAD_AFTER_MS : PIECE_MS);
        }
        connection.read();
    }

    // Guards against a client that has neither an answer nor an end, since nothing ends a short answer that is being
    // forwarded.
    @ParameterizedTest
    @CsvSource({"LENGTH, false", "LENGTH, true", "CHUNKS, false", "CHUNKS, true", "CLOSE, false", "CLOSE, true"})
    void aShortAnswerWithoutAnEndIsEndedInTime(Framing framing, boolean stops) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, each -> answer(each, framing, stops));
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startAsDeployed(folder, agent.server, upstreams)) {
            ExecutorService clients = Executors.newCachedThreadPool();
            List<Future<Ended>> endings = new ArrayList<>();
            for (String lane : List.of("read", "submit", "read", "submit")) {
                String request = request(lane, "unfinished-" + endings.size(), "1.1");
                Callable<Ended> client = () -> ask(sidecar, request);
                endings.add(clients.submit(client));
            }
            for (Future<Ended> ending : endings) {
                Ended ended = ending.get();
                assertTrue(ended.afterMs <= BUDGET_MS + LATE_MS, framing + ", stops " + stops + ": " + ended);
            }
            clients.shutdown();
        }
    }

    // Guards against a client of HTTP/1.0 that takes a part for the whole, as only a reset tells it that a body without
    // a length ends early.
    @Test
    void aClientThatKnowsNoChunksIsResetWhereTheAnswerIsEnded() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, each -> answer(each, Framing.CHUNKS, false));
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startAsDeployed(folder, agent.server, upstreams)) {
            Ended ended = ask(sidecar, request("read", "old-client", "1.0"));
            assertTrue(ended.afterMs <= BUDGET_MS + LATE_MS, ended.toString());
            assertTrue(ended.reset || !ended.head.startsWith("HTTP/1.1 200"), ended.toString());
        }
    }

    // Guards against ending a long answer without a length whose first bytes came in time, and whose node goes on.
    @Test
    void aLongAnswerWithoutALengthIsWholeThoughItTakesLongerThanItsRequestHas() throws Exception {
        AtomicLong sentNanos = new AtomicLong();
        AtomicLong pauseMs = new AtomicLong();
        FakeServer.Script late = connection -> pauseMs.set(answerAround(connection, sentNanos.get()));
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, late);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startAsDeployed(folder, agent.server, upstreams)) {
            Ended ended = null;
            // A play in which the node itself goes on too late is void.
            for (int play = 0; play < MAX_PLAYS && (ended == null || pauseMs.get() > MAX_PAUSE_MS); play++) {
                sentNanos.set(System.nanoTime());
                ended = ask(sidecar, request("read", "long-" + play, "1.1"));
            }
            assertTrue(pauseMs.get() <= MAX_PAUSE_MS, "the node was late by itself: " + pauseMs);
            assertEquals(LONG_BODY_BYTES, ended.bytes, ended.toString());
            assertTrue(ended.afterMs > BUDGET_MS, "it ends behind the time of its request: " + ended);
        }
    }

    /**
     * Writes less than 64 KiB of a long answer before the time of its request ends, more than that right behind, and then the rest.
     * Returns when it went on, in milliseconds after the request was sent.
     */
    private static long answerAround(FakeServer.Connection connection, long sentNanos)
            throws IOException, InterruptedException {
        connection.read();
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.write(Framing.CHUNKS.part("x".repeat(LONG_BEGIN_BYTES)));
        Thread.sleep(Math.max(0, BUDGET_MS - sinceMs(sentNanos)));
        connection.write(Framing.CHUNKS.part("x".repeat(LONG_BEGIN_BYTES)));
        final long wentOnMs = sinceMs(sentNanos);
        for (int sent = 2 * LONG_BEGIN_BYTES; sent < LONG_BODY_BYTES; sent += LONG_STEP_BYTES) {
            connection.write(Framing.CHUNKS.part("x".repeat(Math.min(LONG_STEP_BYTES, LONG_BODY_BYTES - sent))));
            Thread.sleep(LONG_STEP_MS);
        }
        connection.write("0\r\n\r\n");
        return wentOnMs;
    }

    // Guards against a process that waits for an answer without an end until it is killed.
    @Test
    void anAnswerWithoutAnEndIsEndedBeforeTheProcessIsKilled() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, each -> answer(each, Framing.CHUNKS, false));
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startAsDeployed(folder, agent.server, upstreams)) {
            ExecutorService clients = Executors.newCachedThreadPool();
            sidecar.terminate();
            long signalNanos = System.nanoTime();
            Callable<Ended> client =
                    () -> ask(sidecar, request("read", "late", "1.1").replace("1500", "3000"));
            Future<Ended> ending = clients.submit(client);
            Ended ended = ending.get(KILL_MS + WAIT_MS, TimeUnit.MILLISECONDS);
            long afterSignalMs = (System.nanoTime() - signalNanos) / 1_000_000;
            assertTrue(afterSignalMs <= KILL_MS, "ended " + afterSignalMs + " ms after SIGTERM: " + ended);
            clients.shutdown();
        }
    }

    private static String request(String lane, String callId, String version) {
        boolean safe = lane.equals("read");
        return String.format(
                Locale.ROOT,
                "%s /%s?obj=1 HTTP/%s\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n%s\r\n",
                safe ? "GET" : "POST",
                lane,
                version,
                callId,
                BUDGET_MS,
                safe ? "" : "Content-Length: 0\r\n");
    }

    /**
     * What a client has seen of its answer.
     *
     * @param head the head, or why there is none
     * @param bytes the number of bytes of the body
     * @param reset whether its connection was reset
     * @param afterMs when it had the whole answer or the end of its connection, in milliseconds after its request
     */
    private record Ended(String head, int bytes, boolean reset, long afterMs) {}

    private static Ended ask(FaultySidecar sidecar, String request) throws IOException {
        long sentNanos = System.nanoTime();
        String head = "none";
        int bytes = 0;
        boolean reset = false;
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(WAIT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            head = String.valueOf(LongAnswers.head(in));
            boolean served = head.startsWith("HTTP/1.1 200");
            int tail = 0;
            for (int next = 0; served && next >= 0 && !isLastChunk(tail) && sinceMs(sentNanos) < WAIT_MS; ) {
                next = in.read();
                bytes += next == 'x' ? 1 : 0;
                tail = tail << 8 | next & 0xff;
            }
        } catch (SocketTimeoutException e) {
            head += " and nothing for " + WAIT_MS + " ms";
        } catch (IOException e) {
            reset = true;
        }
        return new Ended(head.replace("\r\n", " "), bytes, reset, sinceMs(sentNanos));
    }

    private static boolean isLastChunk(int lastFourBytes) {
        return lastFourBytes == ('0' << 24 | '\r' << 16 | '\n' << 8 | '\r');
    }

    private static long sinceMs(long sinceNanos) {
        return (System.nanoTime() - sinceNanos) / 1_000_000;
    }
}
