package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.Pause;
import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Watches that end while reads fail here, of an agent that is silent from before the reads succeed again. */
@Timeout(60)
class UnreadWatchTest {

    private static final int UPSTREAMS = 3;
    private static final long STEP_MS = 20;
    private static final long SILENT_AFTER_MS = 300;
    private static final long FAULT_MS = 460;
    /** The grace of 500 ms and the slack of the rules, from when the agent had the change. */
    private static final long LEFT_ALONE_MS = 700;

    private static final long LOAD_MS = 1500;

    @TempDir
    Path folder;

    /** What happens, in its order, around the failing reads. */
    private interface Order {
        void play(Agent agent, Upstreams upstreams, SyscallFaults faults) throws Exception;
    }

    private static void failReads(SyscallFaults faults) throws InterruptedException {
        faults.fail(Call.SOCKET_READ, Errno.ETIMEDOUT, SyscallFaults.ALWAYS);
        Thread.sleep(STEP_MS);
    }

    private static void resetWatches(Agent agent) throws Exception {
        agent.resetWatches();
        Thread.sleep(STEP_MS);
    }

    private static void drain(Agent agent, Upstreams upstreams) {
        upstreams.set(0, "Terminating", 0);
        agent.tell();
    }

    /** Plays an order, and returns how many requests were served after it and after a drain's grace. */
    private int servedAfter(Order order) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams);
                Load load = new Load(sidecar, 4, 15)) {
            Thread.sleep(1000);
            assertTrue(agent.hasWatch(), "it watches");
            long beganNanos = System.nanoTime();
            order.play(agent, upstreams, sidecar.faults);
            Pause.until(beganNanos, LEFT_ALONE_MS);
            int before = upstreams.servers.get(0).requests.size();
            int servedBefore = load.served();
            Thread.sleep(LOAD_MS);
            if (!upstreams.list().contains("Terminating")) {
                return load.served() - servedBefore;
            }
            assertEquals(before, upstreams.servers.get(0).requests.size(), "nothing new goes to what drains");
            int served = load.served() - servedBefore;
            agent.silence(false);
            Thread.sleep(LOAD_MS);
            assertTrue(load.served() > servedBefore + served, "the agent answers: clients are served again");
            return served;
        }
    }

    // Guards against an answer of the agent that is dropped with a call that could not be read.
    @Test
    void aDrainThatStandsInTheSocketIsHeededOnceItCanBeRead() throws Exception {
        int served = servedAfter((agent, upstreams, faults) -> {
            resetWatches(agent);
            failReads(faults);
            drain(agent, upstreams);
            Thread.sleep(SILENT_AFTER_MS);
            agent.silence(true);
            Thread.sleep(FAULT_MS - SILENT_AFTER_MS);
            faults.healAll();
        });
        assertTrue(served > 0, "the other upstreams are sent to all the while");
    }

    // Guards against sends by a list that may be old, where only the next answer tells.
    @Test
    void nothingIsSentByAListWhoseWatchEndedUnseenUntilTheAgentAnswers() throws Exception {
        servedAfter((agent, upstreams, faults) -> {
            failReads(faults);
            resetWatches(agent);
            drain(agent, upstreams);
            Thread.sleep(SILENT_AFTER_MS);
            agent.silence(true);
            Thread.sleep(FAULT_MS - SILENT_AFTER_MS);
            faults.healAll();
        });
    }

    // Guards against clients that are refused although the agent has had nothing to tell.
    @Test
    void clientsAreServedWhileTheAgentIsSilentSinceBeforeItWasAsked() throws Exception {
        int served = servedAfter((agent, upstreams, faults) -> {
            agent.silence(true);
            resetWatches(agent);
            failReads(faults);
            Thread.sleep(FAULT_MS);
            faults.healAll();
        });
        assertTrue(served > 0, "it goes on by the list that it has");
    }
}
