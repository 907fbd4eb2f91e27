package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** System calls of a real sidecar fail for a moment while its watch is broken, and upstreams begin to drain right after. */
@Timeout(60)
class FailedCallsTest {

    private static final int UPSTREAMS = 4;
    private static final int DRAINING = 2;
    private static final int CLIENTS = 4;
    private static final long BETWEEN_REQUESTS_MS = 15;
    private static final long FAULT_MS = 400;
    private static final int MOST_WAITS = 10;
    private static final long BEFORE_DRAIN_MS = 600;
    /** The grace of 500 ms, the slack of the rules and a hold-up of the process. */
    private static final long TOLD_MS = 700;

    private static final long AFTER_MS = 1500;

    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({
        "SOCKET, ENFILE",
        "SOCKET, ENOBUFS",
        "SETSOCKOPT, ENOBUFS",
        "GETSOCKOPT, ENOBUFS",
        "CONNECT, ENETUNREACH",
        "CONNECT, EADDRNOTAVAIL",
        "EPOLL_CTL, ENOMEM",
        "EPOLL_WAIT, EINTR",
        "LOG_WRITE, ENOSPC"
    })
    void theWatchIsOpenedAnewOnceCallsSucceedAgain(Call call, Errno errno) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Load load = new Load(sidecar, CLIENTS, BETWEEN_REQUESTS_MS)) {
            Thread.sleep(1000);
            assertTrue(agent.hasWatch(), "it watches");
            int before = agent.calls.get();
            sidecar.faults.fail(call, errno, SyscallFaults.ALWAYS);
            agent.resetWatches();
            Thread.sleep(FAULT_MS);
            sidecar.faults.healAll();
            Thread.sleep(BEFORE_DRAIN_MS);
            for (int i = 0; i < DRAINING; i++) {
                upstreams.set(i, "Terminating", 0);
            }
            agent.tell();
            Thread.sleep(TOLD_MS);
            int[] seen = drainingRequests(upstreams);
            int answeredBefore = load.answered();
            Thread.sleep(AFTER_MS);
            int[] late = drainingRequests(upstreams);
            assertTrue(load.answered() > answeredBefore, "clients went on");
            assertTrue(agent.calls.get() > before, "it called discovery again");
            for (int i = 0; i < DRAINING; i++) {
                assertEquals(seen[i], late[i], "nothing new goes to s-" + i + ", which drains");
            }
        }
    }

    @Test
    void whatAConnectionThatWasNeverMadeHadTakenIsGivenBack() throws Exception {
        FakeServer.Script once = connection -> {
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
            connection.socket.close();
        };
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, once);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Load load = new Load(sidecar, CLIENTS, BETWEEN_REQUESTS_MS)) {
            Thread.sleep(1000);
            sidecar.faults.fail(Call.SOCKET, Errno.ENFILE, SyscallFaults.ALWAYS);
            Thread.sleep(FAULT_MS);
            for (int i = 0; i < MOST_WAITS && sidecar.faults.hits(Call.SOCKET) <= CLIENTS; i++) {
                Thread.sleep(FAULT_MS); // a busy machine makes fewer connections in the same time
            }
            sidecar.faults.healAll();
            assertTrue(load.answered() > 0, "clients are served");
            assertTrue(sidecar.faults.hits(Call.SOCKET) > CLIENTS, "connections could not be made");
            Thread.sleep(AFTER_MS);
            assertTrue(sidecar.connectionsHeld() <= 2 * CLIENTS, sidecar.connectionsHeld() + " are counted as open");
        }
    }

    private static int[] drainingRequests(Upstreams upstreams) {
        int[] counts = new int[DRAINING];
        for (int i = 0; i < DRAINING; i++) {
            counts[i] = upstreams.servers.get(i).requests.size();
        }
        return counts;
    }
}
