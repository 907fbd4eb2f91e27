package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Reads of a client's connection that say 'reset' while an answer on it is being written, though its client is still there. */
@Timeout(60)
class ReadErrorBehindAnswerTest {

    private static final int PLAYS = 3;
    private static final long SENT_MS = 300;
    private static final long FAULT_MS = 300;
    private static final int READ_TIMEOUT_MS = 3500;
    /** More than is read ahead of a long answer, and than the sockets between hold. */
    private static final int STREAMED_BYTES = 20 << 20;

    private static final int FIRST_BYTES = 1 << 20;
    private static final String STREAMED_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: " + STREAMED_BYTES + "\r\n\r\n";
    /** After SIGTERM answers close their connections from 2.85 s on; at 3.3 s open requests are failed. */
    private static final long CLOSING_AFTER_ANSWERS_MS = 3050;

    @TempDir
    Path folder;

    private final CountDownLatch go = new CountDownLatch(1);

    private final FakeServer.Script holding = connection -> {
        while (connection.read() != null) {
            go.await();
            connection.write(FakeServer.OK);
        }
    };

    // Guards against an answer that is dropped with its connection while it waits to be written and a read says reset.
    @Test
    void theLastAnswerIsWrittenThoughAReadSaysReset() throws Exception {
        try (Upstreams upstreams = new Upstreams(2, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            client.getOutputStream().write(lastRequest());
            Thread.sleep(SENT_MS);
            sidecar.faults.fail(Call.SOCKET_WRITE, Errno.ENOBUFS, SyscallFaults.ALWAYS);
            go.countDown();
            Thread.sleep(FAULT_MS);
            sidecar.faults.fail(Call.ACCEPTED_READ, Errno.ECONNRESET, SyscallFaults.ALWAYS);
            Thread.sleep(FAULT_MS);
            sidecar.faults.healAll();
            assertEquals(
                    FakeServer.OK.length(),
                    wholeAnswer(client)
                            .replaceAll("(?i)connection: close\r\n", "")
                            .length());
        }
    }

    // Guards against an answer that is broken off while it is streamed, since a read of its client's connection says
    // reset.
    @Test
    void aStreamedAnswerComesWholeThoughAReadSaysReset() throws Exception {
        FakeServer.Script streaming = connection -> {
            connection.read();
            connection.write(STREAMED_HEAD + "x".repeat(FIRST_BYTES));
            go.await();
            connection.write("x".repeat(STREAMED_BYTES - FIRST_BYTES));
        };
        try (Upstreams upstreams = new Upstreams(2, streaming);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            client.getOutputStream().write(FaultySidecar.request("streamed"));
            client.getInputStream().readNBytes(FIRST_BYTES / 2);
            sidecar.faults.fail(Call.ACCEPTED_READ, Errno.ECONNRESET, SyscallFaults.ALWAYS);
            Thread.sleep(FAULT_MS);
            go.countDown();
            int rest = wholeAnswer(client).length();
            sidecar.faults.healAll();
            int head = STREAMED_HEAD.length();
            assertEquals(STREAMED_BYTES - FIRST_BYTES / 2, rest, head, "bytes behind the first ones");
        }
    }

    // Guards against an answer at hand that is replaced by a failure, since the look into the socket before it says
    // reset.
    @Test
    void anAnswerAtHandIsWrittenThoughTheReadBeforeItSaysReset() throws Exception {
        boolean served = false;
        // A periodic poll of the connection may read first; a failure is right then, for its client may have left.
        for (int play = 0; play < PLAYS && !served; play++) {
            served = answerBehindFailedRead(Files.createDirectory(folder.resolve("play-" + play)))
                    .startsWith("HTTP/1.1 200");
        }
        assertTrue(served, "the node's answer is never written");
    }

    /** Has reads fail right before an answer is ready in a process that closes connections after their answers. */
    private static String answerBehindFailedRead(Path ownFolder) throws Exception {
        CountDownLatch ready = new CountDownLatch(1);
        FakeServer.Script holding = connection -> {
            for (String request = connection.read(); request != null; request = connection.read()) {
                if (!request.contains("first")) {
                    ready.await();
                }
                connection.write(FakeServer.OK);
            }
        };
        try (Upstreams upstreams = new Upstreams(2, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(ownFolder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            client.getOutputStream().write(FaultySidecar.request("first"));
            client.getInputStream().readNBytes(FakeServer.OK.length());
            sidecar.terminate();
            Thread.sleep(CLOSING_AFTER_ANSWERS_MS - SENT_MS);
            client.getOutputStream().write(FaultySidecar.request("held"));
            Thread.sleep(SENT_MS);
            sidecar.faults.fail(Call.ACCEPTED_READ, Errno.ECONNRESET, SyscallFaults.ALWAYS);
            ready.countDown();
            return wholeAnswer(client);
        }
    }

    private static byte[] lastRequest() {
        return new String(FaultySidecar.request("last"), StandardCharsets.US_ASCII)
                .replace("Host: x", "Host: x\r\nConnection: close")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads to the end of a connection, or to a reset. */
    private static String wholeAnswer(Socket client) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] part = new byte[1 << 16];
        try {
            client.setSoTimeout(READ_TIMEOUT_MS);
            for (int count = client.getInputStream().read(part); count > 0; ) {
                bytes.write(part, 0, count);
                count = client.getInputStream().read(part);
            }
        } catch (IOException e) {
            // what came before counts
        }
        return bytes.toString(StandardCharsets.US_ASCII);
    }
}
