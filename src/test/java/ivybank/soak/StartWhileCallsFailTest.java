package ivybank.soak;

import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A process that takes over a listening socket while system calls fail. */
@Timeout(60)
class StartWhileCallsFailTest {

    private static final long FAULT_MS = 1500;

    @TempDir
    Path folder;

    // Guards against a process that refuses to start since it can't examine the listening socket that it is handed.
    @ParameterizedTest
    @EnumSource(names = {"SOCKET", "SETSOCKOPT", "GETSOCKOPT", "GETSOCKNAME", "SOCKET_FLAGS", "EPOLL_CTL", "FILE_OPEN"})
    void aProcessTakesOverOnceCallsSucceedAgain(Call call) throws Exception {
        SyscallFaults faults = new SyscallFaults(folder.resolve("faults"));
        try (Upstreams upstreams = new Upstreams(2);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(folder, agent, upstreams)) {
            faults.fail(call, Errno.ENOBUFS, SyscallFaults.ALWAYS);
            CompletableFuture<Void> healed = CompletableFuture.runAsync(
                    faults::healAll, CompletableFuture.delayedExecutor(FAULT_MS, TimeUnit.MILLISECONDS));
            processes.start(faults);
            healed.join();
        }
    }
}
