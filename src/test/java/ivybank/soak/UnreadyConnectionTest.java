package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Many connections that are accepted while their sockets can't be set up. */
@Timeout(60)
class UnreadyConnectionTest {

    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 150;
    private static final int CONNECT_WITHIN_MS = 100;
    private static final int SHORT_FAULT_MS = 300;
    private static final int FOR_GOOD_MS = 1_000_000;
    /** A request's time is 3 s, and an answer counts up to half a second later. */
    private static final long ANSWERED_WITHIN_MS = 3800;

    @TempDir
    Path folder;

    // Guards against accepted connections that are closed unread because a call fails that sets them up.
    @ParameterizedTest
    @EnumSource(names = {"GETSOCKOPT", "SETSOCKOPT", "SOCKET_FLAGS", "GETSOCKNAME", "EPOLL_CTL"})
    void eachRequestIsAnsweredWhicheverCallOfTheSetupFails(Call call) throws Exception {
        assertAllAnswered(call, SHORT_FAULT_MS);
    }

    // Guards against accepted connections that are closed with a request on them because their channels can't be
    // created.
    @ParameterizedTest
    @ValueSource(ints = {600, 3600})
    void eachRequestIsAnsweredThoughChannelsCannotBeCreated(int faultMs) throws Exception {
        assertAllAnswered(Call.GETSOCKOPT, faultMs);
    }

    private void assertAllAnswered(Call call, int faultMs) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS);
                Agent agent = new Agent(upstreams);
                FaultySidecar sidecar = FaultySidecar.start(folder, agent.server, upstreams)) {
            sidecar.faults.fail(call, Errno.ENOBUFS, SyscallFaults.ALWAYS);
            try (RestingClients clients = new RestingClients(
                    sidecar.port(), CLIENTS, RestingClients.once(1, CLIENTS, CONNECT_WITHIN_MS, FOR_GOOD_MS))) {
                Thread.sleep(faultMs);
                sidecar.faults.healAll();
                Thread.sleep(Math.max(0, ANSWERED_WITHIN_MS - faultMs));
                assertEquals(List.of(), clients.lost());
                assertEquals(CLIENTS, clients.answered());
            }
        }
    }
}
