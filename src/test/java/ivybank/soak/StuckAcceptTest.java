package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** An accept that doesn't come back. */
@Timeout(60)
class StuckAcceptTest {

    private static final int UPSTREAMS = 3;
    private static final int REQUESTS = 20;
    /** Far below the time that the accept is stuck. */
    private static final int LONGEST_ANSWER_MS = 1000;

    @TempDir
    Path folder;

    // Guards against an event loop that stands in an accept: Java asks again at once as long as the system reports
    // ECONNABORTED.
    @Test
    void openConnectionsAreServedWhileAnAcceptIsStuck() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Socket open = sidecar.connect()) {
            ask(open, "first");
            sidecar.faults.fail(Call.STUCK_ACCEPT, Errno.ECONNABORTED, SyscallFaults.ALWAYS);
            try (Socket waiting = sidecar.connect()) {
                open.setSoTimeout(LONGEST_ANSWER_MS);
                for (int i = 0; i < REQUESTS; i++) {
                    ask(open, "meanwhile-" + i);
                    Thread.sleep(20);
                }
                sidecar.faults.healAll();
                ask(waiting, "afterwards");
            }
        }
    }

    private static void ask(Socket connection, String id) throws IOException {
        connection.getOutputStream().write(FaultySidecar.request(id));
        byte[] answer = new byte[1024];
        int length = connection.getInputStream().read(answer);
        assertTrue(
                length > 0 && new String(answer, 0, length, StandardCharsets.US_ASCII).contains(" 200 "),
                id + " is served");
    }
}
