package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.Pause;
import ivybank.testing.SyscallFaults.Call;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process whose start takes longer than what discovery has told may go unheard. */
@Timeout(60)
class SlowStartTest {

    private static final int UPSTREAMS = 3;
    private static final long CHANGED_AT_MS = 300;
    /** When the change counts as told: 6 s after discovery had it, which could be reached all that time. */
    private static final long TOLD_AT_MS = CHANGED_AT_MS + 6000;

    private static final long SILENT_AT_MS = TOLD_AT_MS + 200;
    private static final long HEALED_AT_MS = SILENT_AT_MS + 100;
    /** The grace of 500 ms and the slack of the rules. */
    private static final long LEFT_ALONE_AT_MS = TOLD_AT_MS + 700;

    private static final long LOAD_MS = 1500;

    @TempDir
    Path folder;

    // Guards against a process that calls discovery only once it is ready and goes by the list of its start for ever.
    @Test
    void aDrainThatWasToldWhileTheProcessStartedIsHeeded() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent discovery = new Agent(upstreams)) {
            long beganNanos = System.nanoTime();
            try (FaultySidecar sidecar = FaultySidecar.beginWithFullFolder(folder, discovery.server, upstreams)) {
                Pause.until(beganNanos, CHANGED_AT_MS);
                upstreams.set(0, "Terminating", 0);
                discovery.tell();
                Pause.until(beganNanos, SILENT_AT_MS);
                discovery.silence(true);
                Pause.until(beganNanos, HEALED_AT_MS);
                sidecar.faults.heal(Call.FULL_FOLDER);
                sidecar.awaitReady();
                Pause.until(beganNanos, LEFT_ALONE_AT_MS);
                int before = upstreams.servers.get(0).requests.size();
                try (Load load = new Load(sidecar, 4, 15)) {
                    Thread.sleep(LOAD_MS);
                    assertTrue(load.answered() > 0, "clients are served");
                }
                assertEquals(before, upstreams.servers.get(0).requests.size(), "nothing new goes to what drains");
            }
        }
    }
}
