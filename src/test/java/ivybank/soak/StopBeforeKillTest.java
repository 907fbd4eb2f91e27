package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.testing.FakeServer;
import ivybank.testing.Pause;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process that is stopped for a moment shortly before SIGKILL. */
@Timeout(60)
class StopBeforeKillTest {

    private static final int UPSTREAMS = 4;
    /** A request that is sent now is still open when the process is stopped, and within its deadline at the kill. */
    private static final int SENT_AFTER_TERM_MS = 2700;
    /** The longest deadline, 3 s at most, and 0.7 s. */
    private static final int KILLED_AFTER_MS = 3700;
    /** Two of the stops of {@link ConnectionEndSoakTest}, one behind the other. */
    private static final int STOPPED_MS = 300;

    private static final String FAILED = "HTTP/1.1 5";

    @TempDir
    Path folder;

    // Guards against requests that are still unanswered at SIGKILL since the process was stopped for a moment before
    // it.
    @Test
    void openRequestsAreFailedBeforeAStopThatLastsUntilTheKill() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, connection -> {
                    for (String next = connection.read(); next != null; next = connection.read()) {
                        if (next.startsWith("POST")) {
                            never.await();
                        }
                        connection.write(FakeServer.OK);
                    }
                });
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            long terminatedNanos = System.nanoTime();
            sidecar.terminate();
            client.getOutputStream().write(FaultySidecar.request("answered"));
            awaitAnswer(client);
            Pause.until(terminatedNanos, SENT_AFTER_TERM_MS);
            client.getOutputStream().write(FaultySidecar.unsafeRequest("open"));
            Pause.until(terminatedNanos, KILLED_AFTER_MS - STOPPED_MS);
            sidecar.signal("STOP");
            Pause.until(terminatedNanos, KILLED_AFTER_MS);
            sidecar.signal("KILL");
            byte[] status = client.getInputStream().readNBytes(FAILED.length());
            assertEquals(FAILED, new String(status, StandardCharsets.US_ASCII));
        }
    }

    private static void awaitAnswer(Socket client) throws IOException {
        StringBuilder answer = new StringBuilder();
        while (answer.indexOf("body") < 0) {
            int next = client.getInputStream().read();
            if (next < 0) {
                throw new EOFException("the connection ended behind: " + answer);
            }
            answer.append((char) next);
        }
    }
}
