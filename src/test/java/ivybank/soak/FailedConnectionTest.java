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
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Requests on connections whose reads or writes fail while their clients are still there. */
@Timeout(60)
class FailedConnectionTest {

    private static final int PIPELINED = 3;
    private static final long SENT_MS = 300;
    private static final long FAULT_MS = 300;
    /** Longer than a request's time. */
    private static final long LONG_FAULT_MS = 4000;
    /** A request's time is 3 s, and an answer counts up to half a second later. */
    private static final long ANSWERED_WITHIN_MS = 3500;
    /** More than are served, and not more than are accepted. */
    private static final int SILENT = 244;

    private static final int STILL_SENT = 30;
    private static final String STATUS_LINE = "HTTP/1.1 ";

    @TempDir
    Path folder;

    private final CountDownLatch go = new CountDownLatch(1);

    private final FakeServer.Script holding = connection -> {
        while (connection.read() != null) {
            go.await();
            connection.write(FakeServer.OK);
        }
    };

    // Guards against requests behind another one that are dropped when their connection can't be read.
    @Test
    void requestsBehindOneThatFailsAreAnsweredWhereTheirConnectionCannotBeRead() throws Exception {
        try (Upstreams upstreams = new Upstreams(2, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            client.getOutputStream().write(pipelined());
            Thread.sleep(SENT_MS);
            sidecar.faults.fail(Call.SOCKET_READ, Errno.EHOSTUNREACH, SyscallFaults.ALWAYS);
            assertEquals(PIPELINED, answersOf(client));
            sidecar.faults.healAll();
        }
    }

    // Guards against a request that is dropped since the error of one read looks like an end of its client.
    @Test
    void aRequestInProgressIsAnsweredWhereARepeatedReadSaysReset() throws Exception {
        try (Upstreams upstreams = new Upstreams(2, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            client.getOutputStream().write(FaultySidecar.request("held"));
            Thread.sleep(SENT_MS);
            sidecar.faults.fail(Call.SOCKET_READ, Errno.ECONNRESET, SyscallFaults.ALWAYS);
            assertEquals(1, answersOf(client));
            sidecar.faults.healAll();
        }
    }

    // Guards against the same where its answer can't be written at that moment, and the channel would close by itself.
    @Test
    void aRequestInProgressIsAnsweredWhereReadsSayResetAndWritesFailForAMoment() throws Exception {
        try (Upstreams upstreams = new Upstreams(2, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            client.getOutputStream().write(FaultySidecar.request("held"));
            Thread.sleep(SENT_MS);
            sidecar.faults.fail(Call.SOCKET_WRITE, Errno.ENOBUFS, SyscallFaults.ALWAYS);
            sidecar.faults.fail(Call.SOCKET_READ, Errno.ECONNRESET, SyscallFaults.ALWAYS);
            Thread.sleep(FAULT_MS);
            sidecar.faults.healAll();
            assertEquals(1, answersOf(client));
        }
    }

    // Guards against an answer that is dropped since the error of one write looks like an end of its client.
    @ParameterizedTest
    @EnumSource(names = {"EPIPE", "ECONNRESET", "ENOMEM"})
    void anAnswerIsWrittenOnceWritesSucceedAgainWhateverTheirErrorSaid(Errno errno) throws Exception {
        try (Upstreams upstreams = new Upstreams(2, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            client.getOutputStream().write(FaultySidecar.request("held"));
            Thread.sleep(SENT_MS);
            sidecar.faults.fail(Call.SOCKET_WRITE, errno, SyscallFaults.ALWAYS);
            go.countDown();
            Thread.sleep(FAULT_MS);
            sidecar.faults.healAll();
            assertTrue(client.getInputStream().read() >= 0, "it gets its answer");
        }
    }

    // Guards against a request that stands unread for too long on a connection that was used before.
    @Test
    void aRequestOnARestingConnectionThatCannotBeReadIsAnsweredInTime() throws Exception {
        go.countDown();
        try (Upstreams upstreams = new Upstreams(2, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            client.getOutputStream().write(FaultySidecar.request("first"));
            int first = FakeServer.OK.length();
            while (first > 0 && client.getInputStream().read() >= 0) {
                first = client.getInputStream().available();
            }
            sidecar.faults.fail(Call.SOCKET_READ, Errno.ETIMEDOUT, SyscallFaults.ALWAYS);
            long sentNanos = System.nanoTime();
            client.getOutputStream().write(FaultySidecar.request("second"));
            client.setSoTimeout((int) LONG_FAULT_MS);
            assertTrue(client.getInputStream().read() >= 0, "it is answered");
            long tookMs = (System.nanoTime() - sentNanos) / 1_000_000;
            assertTrue(tookMs < ANSWERED_WITHIN_MS, () -> "answered after " + tookMs + " ms");
            sidecar.faults.healAll();
        }
    }

    // Guards against requests behind one that is refused for lack of connections, which are dropped with its end.
    @Test
    void requestsBehindOneThatIsRefusedForLackOfConnectionsAreAnswered() throws Exception {
        go.countDown();
        List<Socket> silent = new ArrayList<>();
        try (Upstreams upstreams = new Upstreams(2, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            for (int i = 0; i < SILENT; i++) {
                silent.add(sidecar.connect());
            }
            try (Socket client = sidecar.connect()) {
                client.getOutputStream().write(pipelined());
                assertEquals(PIPELINED, answersOf(client));
            }
        } finally {
            for (Socket each : silent) {
                each.close();
            }
        }
    }

    // Guards against an answer that is lost since its connection is reset while its client still sends.
    @Test
    void aConnectionIsNotResetBehindItsLastAnswerWhileItsClientStillSends() throws Exception {
        try (Upstreams upstreams = new Upstreams(2, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket client = sidecar.connect()) {
            client.setTcpNoDelay(true);
            client.getOutputStream().write("no request\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < STILL_SENT; i++) {
                Thread.sleep(1);
                client.getOutputStream().write('x');
            }
            byte[] answer = client.getInputStream().readAllBytes();
            assertTrue(new String(answer, StandardCharsets.US_ASCII).startsWith(STATUS_LINE + "400"), "whole answer");
        }
    }

    private static byte[] pipelined() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int i = 0; i < PIPELINED; i++) {
            bytes.writeBytes(FaultySidecar.request("pipelined-" + i));
        }
        return bytes.toByteArray();
    }

    /** Reads to the end of a connection, or until nothing more comes, and returns how many answers came. */
    private static int answersOf(Socket client) {
        StringBuilder text = new StringBuilder();
        byte[] part = new byte[1024];
        try {
            client.setSoTimeout((int) ANSWERED_WITHIN_MS);
            for (int count = client.getInputStream().read(part); count > 0; ) {
                text.append(new String(part, 0, count, StandardCharsets.US_ASCII));
                count = text.toString().split(STATUS_LINE, -1).length > PIPELINED
                        ? 0
                        : client.getInputStream().read(part);
            }
        } catch (IOException e) {
            // what came before counts
        }
        return text.toString().split(STATUS_LINE, -1).length - 1;
    }
}
