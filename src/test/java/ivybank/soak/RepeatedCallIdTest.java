package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.testing.FakeServer;
import ivybank.testing.SyscallFaults;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

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
        return ("POST /submit?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                        + "\r\nX-Budget-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }
}
