package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.operations.MaintenanceState;
import ivybank.testing.FakeServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what a sidecar on standby does with requests, by when their last byte comes. */
@Timeout(60)
class StandbyRequestsTest extends SidecarTestBase {

    /** 4 s after the order no recent request may be held; each time limit is 50 ms longer on sockets. */
    private static final long RELEASED_BY_MS = 4050;

    private static final long BEGUN_MS = 1200;
    private static final long LATE_MS = 2300;
    private static final long EARLY_MS = 800;
    /** So long a node takes that a request from before 2 s is still open 4 s after the order. */
    private static final long NODE_MS = 3600;
    /** So long it takes for a request of which the name says so. */
    private static final long SHORT_NODE_MS = 1500;

    private static final int PIECES = 10;
    private static final int PIECE_MS = 10;
    private static final int STREAMED_BYTES = 200_000;
    private static final int KEPT_BYTES = 60_000;
    private static final int ENDLESS_BYTES = 32 << 20;
    private static final int UNFINISHED_BYTES_PER_MS = 2000;

    /** The ids of the requests that nodes have received with their last byte. */
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    private final ExecutorService clients = Executors.newCachedThreadPool();
    private long orderedNanos;

    /** A request in the form in which it is written. */
    private enum Form {
        HEAD("Content-Length: 0\r\n", ""),
        BODY_BY_LENGTH("Content-Length: 2000\r\n", "b".repeat(2000)),
        BODY_IN_CHUNKS("Transfer-Encoding: chunked\r\n", chunk("b".repeat(2000)) + chunk("")),
        STREAM_BY_LENGTH("Content-Length: " + STREAMED_BYTES + "\r\n", "b".repeat(STREAMED_BYTES)),
        STREAM_IN_CHUNKS("Transfer-Encoding: chunked\r\n", chunk("b".repeat(STREAMED_BYTES)) + chunk(""));

        private final String framing;
        private final String body;

        Form(String framing, String body) {
            this.framing = framing;
            this.body = body;
        }

        String request(String id) {
            return head(id, framing) + body;
        }
    }

    private static String head(String id, String framing) {
        return "POST /submit HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 6000\r\n" + framing + "\r\n";
    }

    /** Reads requests whole, in either framing, and answers each after its time. */
    private void node(FakeServer.Connection connection) throws IOException, InterruptedException {
        InputStream in = connection.socket.getInputStream();
        for (String head = head(in); head != null; head = head(in)) {
            if (head.contains("chunked")) {
                readChunks(in);
            } else {
                in.skipNBytes(Long.parseLong(field(head, "content-length:")));
            }
            String id = field(head, "x-call-id:");
            received.add(id);
            Thread.sleep(id.startsWith("short") ? SHORT_NODE_MS : NODE_MS);
            connection.write(FakeServer.OK);
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(HEAD_END) < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            text.append((char) next);
        }
        return text.toString();
    }

    private static void readChunks(InputStream in) throws IOException {
        int length;
        do {
            StringBuilder size = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new IOException("the body has no end");
                }
                size.append((char) next);
            }
            length = Integer.parseInt(size.toString().trim(), 16);
            in.skipNBytes(length + 2);
        } while (length > 0);
    }

    private static String field(String head, String name) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name, 0, name.length()))
                .findFirst()
                .orElseThrow()
                .substring(name.length())
                .strip();
    }

    private void startWithNodes() throws IOException {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            hosts.add(host("s-" + i, serve(new FakeServer(this::node)).address(), "Ready"));
        }
        start(FakeServer.nobody(), String.join(",", hosts));
    }

    /** Puts the sidecar on standby by an order of this age. */
    private void order(long ageMs) {
        sidecar.applyMaintenance(MaintenanceState.NONE.enterStandby(clock.nowMs() - ageMs, clock.monotonicMs() - ageMs))
                .toCompletableFuture()
                .join();
        orderedNanos = System.nanoTime() - ageMs * 1_000_000;
    }

    private long sinceOrderMs() {
        return (System.nanoTime() - orderedNanos) / 1_000_000;
    }

    private void sleepUntil(long sinceOrderMs) throws InterruptedException {
        Thread.sleep(Math.max(0, sinceOrderMs - sinceOrderMs()));
    }

    /** What a client has received until the end of its connection, and when that was. */
    private record Outcome(String name, String answers, long endedMs) {

        int count(String text) {
            return answers.split(text, -1).length - 1;
        }
    }

    /** Reads until the end of the connection. */
    private Outcome readAll(String name, Client client) {
        StringBuilder text = new StringBuilder();
        try {
            InputStream in = client.socket.getInputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                text.append((char) next);
            }
        } catch (IOException e) {
            text.append(" [").append(e.getMessage()).append(']');
        }
        return new Outcome(name, text.toString(), sinceOrderMs());
    }

    /** Writes a request in pieces, of which the last one comes late. */
    private Outcome writeLate(Client client, String name, String request) throws Exception {
        int half = request.length() / 2;
        sleepUntil(BEGUN_MS);
        for (int i = 0; i < PIECES; i++) {
            client.write(request.substring(half * i / PIECES, half * (i + 1) / PIECES));
            Thread.sleep(PIECE_MS);
        }
        sleepUntil(LATE_MS);
        client.write(request.substring(half));
        return readAll(name, client);
    }

    /** Writes a request that goes on being served, and another one behind it, whose last byte comes late. */
    private Outcome writeLateBehind(Client client, Form form) throws Exception {
        sleepUntil(BEGUN_MS);
        String request = form.request("late-behind-" + form);
        client.write(Form.HEAD.request("short-" + form) + request.substring(0, request.length() / 2));
        sleepUntil(LATE_MS);
        client.write(request.substring(request.length() / 2));
        return readAll("behind another: " + form, client);
    }

    private void assertRefusedInTime(Outcome outcome, int served) {
        assertEquals(served, outcome.count("HTTP/1.1 200"), outcome.toString());
        assertEquals(1, outcome.count("HTTP/1.1 503"), outcome.toString());
        assertEquals(served + 1, outcome.count("HTTP/1.1 "), outcome.toString());
        assertTrue(outcome.endedMs <= RELEASED_BY_MS, outcome.toString());
    }

    private static <T> List<T> all(List<Future<T>> futures) throws ExecutionException, InterruptedException {
        List<T> results = new ArrayList<>();
        for (Future<T> each : futures) {
            results.add(each.get());
        }
        return results;
    }

    // Guards against recent requests that are held 4 s after the order, since their last byte came late and they were
    // forwarded with all of their time (review/9).
    @Test
    void aRequestWhoseLastByteComesLateIsRefusedUnsentAndLetGo() throws Exception {
        startWithNodes();
        List<Future<Outcome>> alone = new ArrayList<>();
        List<Future<Outcome>> behindAnother = new ArrayList<>();
        order(0);
        for (Form form : Form.values()) {
            Client client = client();
            alone.add(clients.submit(() -> writeLate(client, form.name(), form.request("late-" + form))));
            Client pipelining = client();
            behindAnother.add(clients.submit(() -> writeLateBehind(pipelining, form)));
        }
        for (Outcome outcome : all(alone)) {
            assertRefusedInTime(outcome, 0);
        }
        for (Outcome outcome : all(behindAnother)) {
            assertRefusedInTime(outcome, 1);
        }
        assertTrue(received.stream().noneMatch(id -> id.startsWith("late")), "sent to a node: " + received);
    }

    // Guards against a standby that takes time from requests which were there before its last 2 s.
    @Test
    void aRequestWhoseLastByteComesInTimeKeepsAllOfItsTime() throws Exception {
        startWithNodes();
        List<Client> open = new ArrayList<>();
        order(0);
        sleepUntil(EARLY_MS);
        for (Form form : Form.values()) {
            Client client = client();
            client.write(form.request("early-" + form));
            open.add(client);
        }
        Client pipelining = client();
        pipelining.write(Form.HEAD.request("short-0") + Form.HEAD.request("early-behind"));
        for (Client client : open) {
            assertTrue(client.read().startsWith("HTTP/1.1 200"));
            assertTrue(sinceOrderMs() > RELEASED_BY_MS, "the test's node was too fast");
        }
        assertTrue(pipelining.read().startsWith("HTTP/1.1 200"));
        assertTrue(pipelining.read().startsWith("HTTP/1.1 200"));
    }

    // Guards against a connection that is held on standby for as long as bytes of an unfinished request go on coming.
    @Test
    void aConnectionWithAnUnfinishedRequestIsLetGoHoweverFastItsBytesCome() throws Exception {
        startWithNodes();
        List<Future<Outcome>> outcomes = new ArrayList<>();
        order(0);
        for (int bytes : new int[] {KEPT_BYTES, ENDLESS_BYTES}) {
            Client client = client();
            outcomes.add(clients.submit(() -> writeOn(client, bytes)));
        }
        for (Outcome outcome : all(outcomes)) {
            assertTrue(outcome.endedMs <= RELEASED_BY_MS, outcome.toString());
            assertTrue(outcome.count("HTTP/1.1 ") <= 1, outcome.toString());
        }
    }

    /** Writes a body of this length without an end, until the connection has ended. */
    private Outcome writeOn(Client client, int bytes) throws Exception {
        Future<Outcome> outcome = clients.submit(() -> readAll("body of " + bytes, client));
        OutputStream out = client.socket.getOutputStream();
        sleepUntil(BEGUN_MS);
        client.write(head("unfinished-" + bytes, "Content-Length: " + bytes + "\r\n"));
        byte[] piece = new byte[bytes > KEPT_BYTES ? UNFINISHED_BYTES_PER_MS : 1];
        try {
            while (sinceOrderMs() <= 2 * RELEASED_BY_MS && !outcome.isDone()) {
                out.write(piece);
                Thread.sleep(1);
            }
        } catch (IOException e) {
            // The sidecar has ended the connection.
        }
        return outcome.get();
    }

    // Guards against a standby that goes on refusing when it has ended.
    @Test
    void requestsAreServedAgainWhenTheStandbyHasEnded() throws Exception {
        startWithNodes();
        order(LATE_MS);
        assertEquals(503, client().status(Form.HEAD.request("short-late")));
        sidecar.applyMaintenance(MaintenanceState.NONE).toCompletableFuture().join();
        assertEquals(200, client().status(Form.HEAD.request("short-again")));
        assertEquals(1, received.size());
    }
}
