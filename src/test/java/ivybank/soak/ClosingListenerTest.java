package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.testing.Pause;
import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Clients that connect after the signal to end, as they may for 0.4 s, while accepts are interrupted. */
@Timeout(60)
class ClosingListenerTest {

    private static final int CLIENTS = 8;
    private static final long APART_MS = 25;
    /** Past the moment in which the listener closes, 0.6 s after the signal; less than the process is left. */
    private static final long FAULT_MS = 900;

    @TempDir
    Path folder;

    // Guards against a listener that takes an interrupted accept for an empty backlog and closes on who stands there.
    @Test
    void whoConnectsBehindTheSignalIsAnsweredThoughAcceptsAreInterrupted() throws Exception {
        try (Upstreams upstreams = new Upstreams(2);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            sidecar.terminate();
            long signalledNanos = System.nanoTime();
            Thread.sleep(APART_MS);
            sidecar.faults.fail(Call.ACCEPT, Errno.EINTR, SyscallFaults.ALWAYS);
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Socket client = sidecar.connect();
                client.getOutputStream().write(FaultySidecar.request("behind-" + i));
                clients.add(client);
                Thread.sleep(APART_MS);
            }
            Pause.until(signalledNanos, FAULT_MS);
            sidecar.faults.healAll();
            List<String> lost = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                if (!isAnswered(clients.get(i))) {
                    lost.add("behind-" + i);
                }
            }
            assertEquals(List.of(), lost);
        }
    }

    private static boolean isAnswered(Socket client) {
        try {
            return client.getInputStream().read() >= 0;
        } catch (IOException e) {
            return false;
        }
    }
}
