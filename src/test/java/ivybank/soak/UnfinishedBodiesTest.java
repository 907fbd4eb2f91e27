package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** More bodies are received at one time than memory holds. */
@Timeout(60)
class UnfinishedBodiesTest {

    private static final int UPSTREAMS = 4;
    /** Fewer than are accepted. */
    private static final int CROWD = 650;

    private static final int BODY_BYTES = 65_000;
    private static final int SENT_BYTES = 57_600;
    /** A client may send a body at 64 kB a second. */
    private static final int STEP_BYTES = 6400;

    private static final long STEP_MS = 100;
    private static final int SMALL_BODY_BYTES = 2000;
    /** A request has 3 s, and its answer may be half a second late. */
    private static final int ANSWER_TIMEOUT_MS = 3500;

    private static final int SMALL_REQUESTS = 30;

    @TempDir
    Path folder;

    // Guards against a heap that is used up by bodies which are being received, and that ends the process.
    @Test
    void aCrowdThatStopsWithinItsBodiesDoesNotEndTheSidecarAndOthersAreServed() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.startAsDeployed(folder, agent.server, upstreams)) {
            List<Socket> crowd = connect(sidecar);
            Thread sender = new Thread(() -> sendParts(crowd));
            sender.setDaemon(true);
            sender.start();
            int served = 0;
            for (int i = 0; i < SMALL_REQUESTS; i++) {
                served += answer(sidecar, i).startsWith("HTTP/1.1 200") ? 1 : 0;
                Thread.sleep(STEP_MS);
            }
            assertTrue(sidecar.isAlive(), () -> log(sidecar));
            assertEquals(SMALL_REQUESTS, served);
            for (Socket client : crowd) {
                client.close();
            }
        }
    }

    private static List<Socket> connect(FaultySidecar sidecar) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            sockets.add(sidecar.connect());
        }
        return sockets;
    }

    private static String post(String callId, int bytes) {
        return "POST /submit?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + callId
                + "\r\nX-Budget-Ms: 3000\r\nContent-Length: " + bytes + "\r\n\r\n";
    }

    /** Sends each client's body at the pace of a slow one, and stops before its end. */
    private static void sendParts(List<Socket> crowd) {
        for (int sent = 0; sent < SENT_BYTES; sent += STEP_BYTES) {
            for (int i = 0; i < crowd.size(); i++) {
                send(crowd.get(i), (sent == 0 ? post("crowd" + i, BODY_BYTES) : "") + "x".repeat(STEP_BYTES));
            }
            pause();
        }
    }

    private static void send(Socket client, String text) {
        try {
            client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // It has been refused and its connection closed.
        }
    }

    private static void pause() {
        try {
            Thread.sleep(STEP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request on a new connection, each second one with a small body; returns its answer, or why there is none. */
    private static String answer(FaultySidecar sidecar, int number) {
        String request = number % 2 == 0
                ? new String(FaultySidecar.request("r" + number), StandardCharsets.US_ASCII)
                : post("s" + number, SMALL_BODY_BYTES) + "x".repeat(SMALL_BODY_BYTES);
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            send(socket, request);
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String log(FaultySidecar sidecar) {
        try {
            return "the sidecar has ended: " + Files.readString(sidecar.log());
        } catch (IOException e) {
            return "the sidecar has ended, and its log can't be read: " + e;
        }
    }
}
