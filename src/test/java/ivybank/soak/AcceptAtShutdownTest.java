package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.SyscallFaults;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** An accept that is under way when a process that shares its listening socket is told to end. */
@Timeout(60)
class AcceptAtShutdownTest {

    private static final int LATE_MS = 1500;
    private static final int CONNECTED_MS = 100;
    private static final int READ_TIMEOUT_MS = 5000;
    private static final long KILLED_AFTER_MS = 3700;

    @TempDir
    Path folder;

    // Guards against a connection that was just accepted and is reset because its process ends before it is opened.
    @Test
    void aConnectionIsServedWhoseAcceptReturnsAfterTheSignal() throws Exception {
        SyscallFaults faults = new SyscallFaults(folder.resolve("faults"));
        try (Upstreams upstreams = new Upstreams(2);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(folder, agent, upstreams)) {
            long pid = processes.start(faults);
            faults.delayAccepts(LATE_MS);
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), processes.port())) {
                client.setSoTimeout(READ_TIMEOUT_MS);
                client.getOutputStream().write(FaultySidecar.request("late"));
                Thread.sleep(CONNECTED_MS);
                processes.end(pid, KILLED_AFTER_MS);
                assertTrue(client.getInputStream().read() >= 0, "it gets its answer");
            }
        }
    }
}
