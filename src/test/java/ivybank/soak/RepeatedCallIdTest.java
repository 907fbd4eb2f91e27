package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import ivybank.testing.SyscallFaults;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that leave while their unsafe request may be running, and send its call id once more. */
@Timeout(60)
class RepeatedCallIdTest {

    private static final int UPSTREAMS = 3;
    private static final int IDS = 40;
    private static final int LEAST_NODE_MS = 20;
    private static final int MOST_NODE_MS = 500;
    private static final int LEAST_WAIT_MS = 10;
    private static final int MOST_WAIT_MS = 100;
    private static final int MOST_AWAY_MS = 500;
    private static final int ANSWER_MS = 3500;
    private static final int MOST_PAUSE_MS = 200;
    private static final int ROUNDS = 10;
    private static final int CONFLICT = 409;
    private static final int BETWEEN_REPEATS_MS = 20;
    private static final Pattern CALL_ID = Pattern.compile("(?i)x-call-id: (\\S+)");

    @TempDir
    Path folder;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final SplittableRandom random = new SplittableRandom(1);

    private void serve(FakeServer.Connection connection) throws IOException, InterruptedException {
        for (String request = connection.read(); request != null; request = connection.read()) {
            Matcher id = CALL_ID.matcher(request);
            if (id.find()) {
                runs.merge(id.group(1), 1, Integer::sum);
            }
            Thread.sleep(ThreadLocalRandom.current().nextInt(LEAST_NODE_MS, MOST_NODE_MS));
            connection.write(FakeServer.OK);
        }
    }

    // Guards against an unsafe request that runs twice because its id comes again after its client has left.
    @Test
    void anIdThatComesAgainAfterItsClientLeftRunsOnce() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, this::serve);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            for (int i = 0; i < IDS; i++) {
                sendTwice(sidecar.port(), sidecar.port(), "again-" + i);
            }
            assertOnce();
        }
    }

    // Guards against the same where the second one comes to the other process of an upgrade.
    @Test
    void anIdThatComesAgainAtTheOtherProcessOfAnUpgradeRunsOnce() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, this::serve);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(folder, agent, upstreams)) {
            processes.start(new SyscallFaults(folder.resolve("faults-0")));
            processes.start(new SyscallFaults(folder.resolve("faults-1")));
            for (int i = 0; i < IDS; i++) {
                sendTwice(processes.port(), processes.port(), "upgrade-" + i);
            }
            assertOnce();
        }
    }

    // Guards against an id that is forgotten since its repeat was turned away, and then runs when it comes once more.
    @Test
    void anIdThatIsTurnedAwayAndComesOnceMoreOnTheSameConnectionRunsOnce() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, this::serve);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            int turnedAway = 0;
            for (int i = 0; i < IDS; i++) {
                String id = "turned-away-" + i;
                try (Socket first = new Socket(InetAddress.getLoopbackAddress(), sidecar.port())) {
                    first.getOutputStream().write(request(id));
                    Thread.sleep(random.nextInt(LEAST_WAIT_MS, MOST_WAIT_MS));
                }
                try (Socket second = connect(sidecar.port())) {
                    // Where the first request was not read before its client left, the second one is the owner of the
                    // id.
                    if (status(second, request(id)) == CONFLICT) {
                        turnedAway++;
                        Thread.sleep(random.nextInt(MOST_PAUSE_MS));
                        status(second, request(id));
                    }
                }
            }
            assertTrue(turnedAway > IDS / 2, turnedAway + " turned away");
            assertOnce();
        }
    }

    // Guards against a client that repeats the id of another client's open request until that one is answered and its
    // answer read.
    @ParameterizedTest
    @ValueSource(strings = {"submit", "read"})
    void whoRepeatsAnotherClientsIdIsNotServedOnceThatOneHasItsAnswer(String lane) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, this::serve);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            for (int i = 0; i < ROUNDS; i++) {
                playRepeater(lane, sidecar.port(), "repeated-" + i);
            }
            if (lane.equals("submit")) { // what is safe to repeat may be sent twice for its own client
                assertOnce();
            }
        }
    }

    // Guards against the same at two processes of an upgrade, either of which may have the client and who repeats its
    // id.
    @Test
    void whoRepeatsAnotherClientsIdIsNotServedAtTheOtherProcessOfAnUpgrade() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, this::serve);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(folder, agent, upstreams)) {
            processes.start(new SyscallFaults(folder.resolve("faults-0")));
            processes.start(new SyscallFaults(folder.resolve("faults-1")));
            for (int i = 0; i < ROUNDS; i++) {
                playRepeater("submit", processes.port(), "shared-" + i);
            }
            assertOnce();
        }
    }

    /** Has a client send a request and, behind its answer, another one; a second client sends the id of the first all the time. */
    private void playRepeater(String lane, int port, String id) throws Exception {
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        try (Socket client = connect(port)) {
            client.getOutputStream().write(request(lane, id));
            awaitRun(id);
            Thread repeater = new Thread(() -> repeat(port, request(lane, id), over, served));
            repeater.start();
            assertEquals(200, status(client));
            assertEquals(200, status(client, request(lane, id + "-next")));
            Thread.sleep(MOST_PAUSE_MS);
            over.set(true);
            repeater.join();
        }
        assertEquals(0, served.get(), "the second client is served for " + id);
    }

    /** Waits until a node has the request: it is open then, whichever process has read it. */
    private void awaitRun(String id) throws InterruptedException {
        long untilNanos = System.nanoTime() + ANSWER_MS * 1_000_000L;
        while (!runs.containsKey(id) && System.nanoTime() < untilNanos) {
            Thread.sleep(1);
        }
        assertTrue(runs.containsKey(id), id + " is at a node");
    }

    /** Sends a request again and again, on one connection as long as it stays open. */
    private static void repeat(int port, byte[] request, AtomicBoolean over, AtomicInteger served) {
        while (!over.get()) {
            try (Socket socket = connect(port)) {
                while (!over.get()) {
                    served.addAndGet(status(socket, request) == 200 ? 1 : 0);
                    Thread.sleep(BETWEEN_REPEATS_MS);
                }
            } catch (IOException e) {
                // It was closed on; the next connection may be at the other process.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(ANSWER_MS);
        return socket;
    }

    private static int status(Socket socket, byte[] request) throws IOException {
        socket.getOutputStream().write(request);
        return status(socket);
    }

    private static int status(Socket socket) throws IOException {
        return ReceivedAnswer.read(socket).status();
    }

    private void sendTwice(int firstPort, int secondPort, String id) throws Exception {
        try (Socket first = new Socket(InetAddress.getLoopbackAddress(), firstPort)) {
            first.getOutputStream().write(request(id));
            Thread.sleep(random.nextInt(LEAST_WAIT_MS, MOST_WAIT_MS));
        }
        Thread.sleep(random.nextInt(MOST_AWAY_MS));
        try (Socket second = new Socket(InetAddress.getLoopbackAddress(), secondPort)) {
            second.setSoTimeout(ANSWER_MS);
            second.getOutputStream().write(request(id));
            second.getInputStream().read();
        }
    }

    private void assertOnce() {
        long twice = runs.values().stream().filter(count -> count > 1).count();
        System.out.println("ids that came again: " + runs.size() + " ran, " + twice + " more than once");
        assertEquals(0, twice, () -> runs.toString());
    }

    private static byte[] request(String id) {
        return request("submit", id);
    }

    private static byte[] request(String lane, String id) {
        return lane.equals("read") ? FaultySidecar.request(id) : FaultySidecar.unsafeRequest(id);
    }
}
