package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients ask and leave while their sidecar can't see it: nothing is sent for them later than 0.1 s after their end. */
@Timeout(60)
class DepartedWhileUnreadTest {

    private static final int UPSTREAMS = 3;
    private static final int CONNECTIONS = 32;
    private static final int ROUNDS = 8;
    private static final long FAULT_MS = 50;
    /** As long as the soak has calls fail at the most. */
    private static final long LONG_FAULT_MS = 700;

    /** So that the rounds come at different moments of what the sidecar does each 400 ms. */
    private static final long APART_MS = 380;

    /** What the rule allows, and a hold-up of the process between a look and a write. */
    private static final long BOUND_MS = 100 + 150;

    private static final long STOP_MS = BOUND_MS + 50;
    /** Longer than a pass over the sockets, and too short to count as a delay by itself. */
    private static final int HANDOVER_DELAY_MS = 6;

    private static final long AFTER_MS = 1000;
    private static final int HALF = 500;
    private static final String REQUEST_HEAD = "GET /read?obj=1 HTTP/1.1\r\n";
    private static final String CALL_ID = "X-Call-Id: ";

    @TempDir
    Path folder;

    private final Map<String, Long> arrivedNanos = new ConcurrentHashMap<>();
    private final Map<String, Long> leftNanos = new ConcurrentHashMap<>();

    private final FakeServer.Script stamping = connection -> {
        for (String request = connection.read(); request != null; request = connection.read()) {
            arrivedNanos.putIfAbsent(callId(request), System.nanoTime());
            connection.write(FakeServer.OK);
        }
    };

    // Guards against a send for a client that left while its connection was lost to the selector.
    @Test
    void aRequestFoundLateBehindALostRegistrationIsNotSent() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, stamping);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            for (int round = 0; round < ROUNDS; round++) {
                leaveUnregistered(sidecar, "late-" + round + "-");
                Thread.sleep(APART_MS);
            }
            Thread.sleep(AFTER_MS);
            assertNothingLate(sidecar, CONNECTIONS);
        }
    }

    // Guards against a send for a client whose end could not be read, where every second read fails.
    @Test
    void aRequestBehindWhichNothingCouldBeReadIsNotSent() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, stamping);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            List<Socket> connections = askedOnce(sidecar, CONNECTIONS);
            sidecar.faults.fail(Call.SOCKET_READ, Errno.ETIMEDOUT, SyscallFaults.ALWAYS);
            for (int i = 0; i < CONNECTIONS; i++) {
                write(connections.get(i), REQUEST_HEAD + rest("late-" + i));
                leave("late-" + i, connections.get(i));
            }
            Thread.sleep(BOUND_MS);
            sidecar.faults.fail(Call.SOCKET_READ, Errno.ETIMEDOUT, HALF);
            Thread.sleep(AFTER_MS);
            sidecar.faults.healAll();
            Thread.sleep(AFTER_MS);
            assertNothingLate(sidecar, CONNECTIONS);
        }
    }

    // Guards against a send for a client that left before its connection could be used.
    @ParameterizedTest
    @CsvSource({"GETSOCKOPT, ENOBUFS", "ACCEPT, EMFILE", "ACCEPT, EINTR"})
    void aRequestOnAConnectionThatCouldNotBeUsedForLongIsNotSent(Call call, Errno errno) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, stamping);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            askedOnce(sidecar, UPSTREAMS); // idle connections to upstreams: a send waits for nothing
            Thread.sleep(APART_MS);
            sidecar.faults.fail(call, errno, SyscallFaults.ALWAYS);
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket connection = sidecar.connect();
                write(connection, REQUEST_HEAD + rest("late-" + i));
                leave("late-" + i, connection);
            }
            Thread.sleep(LONG_FAULT_MS);
            sidecar.faults.healAll();
            Thread.sleep(AFTER_MS);
            assertNothingLate(sidecar, CONNECTIONS);
        }
    }

    // Guards against a send for a client that left during a stop, where its connection is handed over after the stop
    // was
    // followed.
    @Test
    void aRequestOnAConnectionThatIsAcceptedLateAfterAStopIsNotSent() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, stamping);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            askedOnce(sidecar, UPSTREAMS); // idle connections to upstreams: a send waits for nothing
            sidecar.faults.delayAccepts(HANDOVER_DELAY_MS);
            for (int round = 0; round < ROUNDS; round++) {
                Thread.sleep(APART_MS);
                sidecar.signal("STOP");
                Socket connection = sidecar.connect();
                write(connection, REQUEST_HEAD + rest("late-" + round));
                leave("late-" + round, connection);
                Thread.sleep(STOP_MS);
                sidecar.signal("CONT");
            }
            Thread.sleep(AFTER_MS);
            assertNothingLate(sidecar, ROUNDS);
        }
    }

    /** Has clients ask and leave on connections of which the selector knows nothing any more. */
    private void leaveUnregistered(FaultySidecar sidecar, String name) throws Exception {
        List<Socket> connections = askedOnce(sidecar, CONNECTIONS / ROUNDS);
        sidecar.faults.fail(Call.EPOLL_CTL, Errno.ENOMEM, SyscallFaults.ALWAYS);
        sidecar.faults.fail(Call.SOCKET_READ, Errno.ETIMEDOUT, SyscallFaults.ALWAYS);
        for (Socket connection : connections) {
            write(connection, REQUEST_HEAD);
        }
        Thread.sleep(FAULT_MS);
        sidecar.faults.healAll();
        for (int i = 0; i < connections.size(); i++) {
            write(connections.get(i), rest(name + i));
            leave(name + i, connections.get(i));
        }
    }

    /** Connections that have brought a request each, and are kept. */
    private static List<Socket> askedOnce(FaultySidecar sidecar, int count) throws IOException {
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket connection = sidecar.connect();
            connections.add(connection);
            write(connection, REQUEST_HEAD + rest("first-" + i));
            assertTrue(connection.getInputStream().read(new byte[1024]) > 0, "it is served");
        }
        return connections;
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String rest(String callId) {
        return "Host: x\r\n" + CALL_ID + callId + "\r\nX-Budget-Ms: 3000\r\n\r\n";
    }

    private void leave(String callId, Socket connection) throws IOException {
        connection.close();
        leftNanos.put(callId, System.nanoTime());
    }

    private static String callId(String request) {
        int from = request.toLowerCase(java.util.Locale.ROOT).indexOf(CALL_ID.toLowerCase(java.util.Locale.ROOT));
        return request.substring(from + CALL_ID.length()).lines().findFirst().orElseThrow();
    }

    private void assertNothingLate(FaultySidecar sidecar, int clients) throws IOException {
        List<String> late = new ArrayList<>();
        leftNanos.forEach((callId, leftAt) -> {
            long afterMs = TimeUnit.NANOSECONDS.toMillis(arrivedNanos.getOrDefault(callId, leftAt) - leftAt);
            if (afterMs > BOUND_MS) {
                late.add(callId + " after " + afterMs + " ms");
            }
        });
        assertEquals(List.of(), late);
        assertTrue(leftNanos.size() == clients && sidecar.connect().isConnected(), "all have left, and it goes on");
    }
}
