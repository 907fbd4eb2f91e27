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
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Nodes that write a long answer slowly and begin its body late, and never stop. */
@Timeout(60)
class ArrivingAnswerTest {

    private static final int UPSTREAMS = 3;
    private static final int REQUESTS = 6;
    private static final int BODY_BYTES = 153_213;
    private static final int HEAD_AFTER_MS = 400;
    private static final int STEP_BYTES = 2000;
    private static final int STEP_MS = 20;
    private static final int BUDGET_MS = 2500;
    /** So much later an answer only earns nothing. */
    private static final int LATE_MS = 500;

    private static final int WAIT_MS = 5000;

    @TempDir
    Path folder;

    private static void answerLate(FakeServer.Connection connection, boolean chunked, int bodyAfterMs)
            throws IOException, InterruptedException {
        while (connection.read() != null) {
            Thread.sleep(HEAD_AFTER_MS);
            connection.write("HTTP/1.1 200 OK\r\n"
                    + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + BODY_BYTES) + "\r\n\r\n");
            Thread.sleep(bodyAfterMs);
            for (int sent = 0; sent < BODY_BYTES; sent += STEP_BYTES) {
                String piece = "x".repeat(Math.min(STEP_BYTES, BODY_BYTES - sent));
                connection.write(chunked ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n" : piece);
                Thread.sleep(STEP_MS);
            }
            connection.write(chunked ? "0\r\n\r\n" : "");
        }
    }

    // Guards against an answer that is cut off by an attempt's timeout while its node is still writing it.
    @ParameterizedTest
    @CsvSource({"false, 0", "false, 600", "false, 1200", "true, 0", "true, 600", "true, 1200"})
    void anAnswerThatIsArrivingIsNotCutOff(boolean chunked, int bodyAfterMs) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, each -> answerLate(each, chunked, bodyAfterMs));
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startAsDeployed(folder, agent.server, upstreams)) {
            ExecutorService clients = Executors.newCachedThreadPool();
            List<Future<String>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String callId = "arriving-" + i;
                Callable<String> client = () -> answer(sidecar, callId);
                answers.add(clients.submit(client));
            }
            List<String> cut = new ArrayList<>();
            for (Future<String> answer : answers) {
                if (!answer.get().equals("whole")) {
                    cut.add(answer.get());
                }
            }
            clients.shutdown();
            System.out.println("arriving answers, chunked " + chunked + ", body after " + bodyAfterMs + ": cut " + cut);
            assertEquals(List.of(), cut);
        }
    }

    // Guards against a client that waits beyond its time for an answer which its node has stopped writing.
    @ParameterizedTest
    @ValueSource(ints = {0, 1000})
    void anAnswerThatStopsIsRefusedInTime(int bytes) throws Exception {
        FakeServer.Script stopping = connection -> {
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + "x".repeat(bytes));
            connection.read();
        };
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, stopping);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startAsDeployed(folder, agent.server, upstreams)) {
            long sentNanos = System.nanoTime();
            String answer = answer(sidecar, "stopping");
            long tookMs = (System.nanoTime() - sentNanos) / 1_000_000;
            assertTrue(answer.startsWith("answer: HTTP/1.1 503"), answer);
            assertTrue(tookMs <= BUDGET_MS + LATE_MS, "refused after " + tookMs + " ms");
        }
    }

    /** Returns "whole", or what came instead. */
    private static String answer(FaultySidecar sidecar, String callId) throws IOException {
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(WAIT_MS);
            socket.getOutputStream()
                    .write(("GET /read?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + callId + "\r\nX-Budget-Ms: "
                                    + BUDGET_MS + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String head = LongAnswers.head(in);
            if (head == null || !head.startsWith("HTTP/1.1 200")) {
                return "answer: " + head;
            }
            int count = 0;
            byte[] piece = new byte[4096];
            while (count < BODY_BYTES) {
                int read = in.read(piece);
                if (read < 0) {
                    return "ended after " + count + " bytes";
                }
                for (int i = 0; i < read; i++) {
                    count += piece[i] == 'x' ? 1 : 0;
                }
            }
            return "whole";
        } catch (SocketTimeoutException e) {
            return "nothing for " + WAIT_MS + " ms";
        }
    }
}
