package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Answers that can't be written for a while. */
@Timeout(60)
class UnwrittenAnswerTest {

    private static final int UPSTREAMS = 4;
    private static final int ASKING = 20;
    /** With those that ask, more than are kept without need. */
    private static final int OTHERS = 110;

    private static final long SENT_MS = 300;
    /** Longer than an idle connection is kept among many, shorter than one on which nothing is said. */
    private static final long FAULT_MS = 550;

    @TempDir
    Path folder;

    private final CountDownLatch go = new CountDownLatch(1);

    private final FakeServer.Script holding = connection -> {
        while (connection.read() != null) {
            go.await();
            connection.write(FakeServer.OK);
        }
    };

    // Guards against an answer that is lost with a connection that looks idle while the answer can't be written.
    @Test
    void aConnectionIsNotClosedAsIdleWithItsAnswerUnwritten() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            List<Socket> asking = askAndHold(sidecar);
            sidecar.faults.fail(Call.SOCKET_WRITE, Errno.EHOSTUNREACH, SyscallFaults.ALWAYS);
            go.countDown();
            List<Socket> others = connect(sidecar, OTHERS);
            Thread.sleep(FAULT_MS);
            sidecar.faults.healAll();
            List<String> lost = new ArrayList<>();
            for (int i = 0; i < ASKING; i++) {
                int first = firstByte(asking.get(i));
                if (first < 0) {
                    lost.add("held-" + i);
                }
            }
            assertEquals(List.of(), lost, "each gets its answer");
            for (Socket other : others) {
                other.close();
            }
        }
    }

    // Guards against a busy event loop: an interrupted write looks as if there were no room, and the selector reports
    // room.
    @Test
    void anInterruptedWriteIsTriedAgainAfterAPause() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, holding);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            List<Socket> asking = askAndHold(sidecar);
            sidecar.faults.fail(Call.SOCKET_WRITE, Errno.EINTR, SyscallFaults.ALWAYS);
            go.countDown();
            Thread.sleep(FAULT_MS);
            sidecar.faults.healAll();
            int writes = sidecar.faults.hits(Call.SOCKET_WRITE);
            assertTrue(writes < FAULT_MS * ASKING, writes + " writes, more than one a ms for each answer");
            for (Socket each : asking) {
                assertTrue(firstByte(each) >= 0, "it gets its answer");
            }
        }
    }

    /** Connections with a request each, which the upstreams have and do not answer yet. */
    private static List<Socket> askAndHold(FaultySidecar sidecar) throws Exception {
        List<Socket> asking = connect(sidecar, ASKING);
        for (int i = 0; i < ASKING; i++) {
            asking.get(i).getOutputStream().write(FaultySidecar.request("held-" + i));
        }
        Thread.sleep(SENT_MS);
        return asking;
    }

    private static List<Socket> connect(FaultySidecar sidecar, int count) throws IOException {
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            connections.add(sidecar.connect());
        }
        return connections;
    }

    private static int firstByte(Socket connection) {
        try {
            return connection.getInputStream().read();
        } catch (IOException e) {
            return -1;
        }
    }
}
