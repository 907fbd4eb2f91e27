package ivybank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Upgrades of a sidecar that keeps promises in a store, which one process can hold at a time. */
@Timeout(90)
class UpgradeWithStoreTest {

    /** What happens once the new process has said that it can serve. */
    private enum Order {
        /** The old process is told to end, and ends. */
        UPGRADE,
        /** The old process is killed without a word. */
        OLD_KILLED,
        /** The old process is killed right after it was told to end. */
        OLD_KILLED_WHILE_IT_ENDS,
        /** The new process dies, and the old one goes on alone. */
        NEW_KILLED,
        /** The new process dies right after the old one was told to end, and another one starts. */
        NEW_KILLED_AND_REPLACED,
        /** A second upgrade follows at once. */
        TWO_UPGRADES
    }

    private static final int UPSTREAMS = 3;
    private static final int CLIENTS = 6;
    private static final long NODE_MS = 60;
    private static final long HANGING_NODE_MS = 2500;
    private static final int BUDGET_MS = 3000;
    /** So much later an answer only earns nothing. */
    private static final int LATE_MS = 550;
    /** SIGKILL comes the longest deadline, 3 s, and 0.7 s after SIGTERM. */
    private static final long KILL_MS = 3700;

    private static final long APART_MS = 500;
    private static final Pattern KEY = Pattern.compile("(?i)idempotency-key: (\\S+)");

    @TempDir
    Path folder;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger run = new AtomicInteger();

    /** Counts the runs of each key, and answers each with the number of the run. */
    private void serve(FakeServer.Connection connection) throws IOException, InterruptedException {
        for (String request = connection.read(); request != null; request = connection.read()) {
            Matcher key = KEY.matcher(request);
            if (key.find()) {
                runs.merge(key.group(1), 1, Integer::sum);
            }
            Thread.sleep(request.contains("hanging") ? HANGING_NODE_MS : NODE_MS);
            String body = "run " + run.incrementAndGet();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    private SyscallFaults noFaults(int process) throws IOException {
        return new SyscallFaults(folder.resolve("faults-" + process));
    }

    // Guards against an upgrade that ends the new process because the old one holds the store, and against requests
    // that are
    // lost, or run twice, at whatever moment a process of the upgrade ends.
    @ParameterizedTest
    @EnumSource(Order.class)
    void eachRequestIsAnsweredAndRunsOnce(Order order) throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, this::serve);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(folder, agent, upstreams)) {
            processes.useStore();
            long old = processes.start(noFaults(0));
            boolean killed = order.name().contains("KILLED");
            try (KeyedClients clients = new KeyedClients(processes.port(), killed)) {
                Thread.sleep(APART_MS);
                long current = processes.start(noFaults(1));
                play(order, processes, old, current);
                if (order == Order.NEW_KILLED_AND_REPLACED) {
                    clients.judgeFromNow(); // until the third one served nobody was there
                }
                Thread.sleep(APART_MS);
                assertEquals(List.of(), clients.lost, order + ": " + clients.lost.size());
                assertTrue(clients.served.size() > CLIENTS, clients.served.size() + " served");
                assertServedOnce(processes.port(), clients.served);
            }
        }
    }

    private void play(Order order, SharedListenerProcesses processes, long old, long current) throws Exception {
        switch (order) {
            case OLD_KILLED -> kill(old);
            case OLD_KILLED_WHILE_IT_ENDS -> processes.end(old, 1);
            case NEW_KILLED -> kill(current);
            case NEW_KILLED_AND_REPLACED -> {
                processes.end(old, 1);
                kill(current);
                processes.start(noFaults(2));
            }
            case TWO_UPGRADES -> {
                processes.end(old, 1000);
                processes.start(noFaults(2));
                processes.end(current, KILL_MS);
            }
            default -> processes.end(old, KILL_MS);
        }
        Thread.sleep(APART_MS);
        assertTrue(
                killedOnPurpose(order) || ProcessHandle.of(current).isPresent(),
                () -> "the new process has ended: " + processes.log(0));
    }

    private static boolean killedOnPurpose(Order order) {
        return order.name().startsWith("NEW_KILLED") || order == Order.TWO_UPGRADES;
    }

    private static void kill(long process) {
        ProcessHandle.of(process).ifPresent(ProcessHandle::destroyForcibly);
    }

    /** Asks for each served request once more: it gets the answer on record, and nothing has run twice. */
    private void assertServedOnce(int port, Map<String, String> served) throws IOException {
        int asked = 0;
        for (Map.Entry<String, String> each : served.entrySet()) {
            if (asked++ % CLIENTS == 0) {
                assertEquals(each.getValue(), ask(port, each.getKey(), "again").body(), each.getKey());
            }
        }
        runs.forEach((key, count) -> assertEquals(1, count, key + " has run"));
    }

    // Guards against a request that is in hand at the old process as the store changes hands, and runs once more at the
    // new one.
    @Test
    void aRequestInHandAtTheHandOverIsInDoubtAndNotSentAgain() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, this::serve);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(folder, agent, upstreams)) {
            processes.useStore();
            long old = processes.start(noFaults(0));
            processes.start(noFaults(1));
            List<ReceivedAnswer> first = new CopyOnWriteArrayList<>();
            Thread client = new Thread(() -> first.add(askQuietly(processes.port(), "hanging")));
            client.start();
            while (!runs.containsKey("hanging") && client.isAlive()) {
                Thread.sleep(1);
            }
            assertEquals(1, runs.get("hanging"), "it runs at the old process");
            processes.end(old, 1000);
            assertEquals(409, ask(processes.port(), "hanging", "twice").status());
            client.join();
            assertEquals(1, first.size());
            assertEquals(1, runs.get("hanging"));
        }
    }

    // Guards against a sidecar that nobody serves, since the disk fails just as its new process takes over.
    @Test
    void whereTheDiskFailsAtTheTakeOverSafeRequestsAreServedAndOthersRefused() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, this::serve);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(folder, agent, upstreams)) {
            processes.useStore();
            long old = processes.start(noFaults(0));
            SyscallFaults faults = noFaults(1);
            processes.start(faults);
            faults.fail(Call.FILE_WRITE, Errno.EIO, SyscallFaults.ALWAYS);
            processes.end(old, KILL_MS);
            assertEquals(503, ask(processes.port(), "refused", "1").status());
            try (Socket socket = connect(processes.port())) {
                socket.getOutputStream().write(FaultySidecar.request("safe"));
                assertTrue(ReceivedAnswer.read(socket).head().startsWith("HTTP/1.1 200"));
            }
            faults.healAll();
            int status = 0;
            for (int i = 0; status != 200 && i < 100; i++) {
                status = ask(processes.port(), "taken-" + i, "1").status();
                Thread.sleep(NODE_MS);
            }
            assertEquals(200, status, () -> processes.log(0));
        }
    }

    // Guards against clients that nobody answers, since a process that is told to end accepts nothing more on a shared
    // socket
    // although no other process is there.
    @Test
    void aProcessThatEndsAloneAnswersThoseWhoConnectAfterTheSignal() throws Exception {
        try (Upstreams upstreams = new Upstreams(UPSTREAMS, this::serve);
                Agent agent = new Agent(upstreams);
                SharedListenerProcesses processes = new SharedListenerProcesses(folder, agent, upstreams)) {
            long alone = processes.start(noFaults(0));
            SharedListenerProcesses.terminate(alone);
            for (int i = 0; i < CLIENTS; i++) {
                Thread.sleep(APART_MS / CLIENTS);
                assertEquals(200, ask(processes.port(), "after-" + i, "1").status());
            }
            Thread.sleep(KILL_MS);
            assertFalse(ProcessHandle.of(alone).isPresent(), "it ends by itself");
        }
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(BUDGET_MS + LATE_MS);
        return socket;
    }

    private static ReceivedAnswer ask(int port, String key, String callId) throws IOException {
        try (Socket socket = connect(port)) {
            return ask(socket, key, callId);
        }
    }

    private static ReceivedAnswer askQuietly(int port, String key) {
        try {
            return ask(port, key, "first");
        } catch (IOException e) {
            return new ReceivedAnswer(e.toString(), 0, "");
        }
    }

    private static ReceivedAnswer ask(Socket socket, String key, String callId) throws IOException {
        String request = String.format(
                Locale.ROOT,
                "POST /submit?obj=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s-%s\r\nX-Budget-Ms: %d\r\n"
                        + "Idempotency-Key: %s\r\nContent-Length: 0\r\n\r\n",
                key,
                callId,
                BUDGET_MS,
                key);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return ReceivedAnswer.read(socket);
    }

    /** Clients that send keyed requests on their connections, and note which were served and which got no answer. */
    private static final class KeyedClients implements AutoCloseable {
        final Map<String, String> served = new ConcurrentHashMap<>();
        final List<String> lost = new CopyOnWriteArrayList<>();
        private final List<Thread> threads = new ArrayList<>();
        private final int port;
        /** Whether a process is killed, which loses what it has in hand. */
        private final boolean killing;

        private volatile boolean over;
        private volatile long judgedFromNanos = System.nanoTime();

        KeyedClients(int port, boolean killing) {
            this.port = port;
            this.killing = killing;
            for (int i = 0; i < CLIENTS; i++) {
                String name = "c" + i;
                Thread thread = new Thread(() -> ask(name));
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }

        /** From now on judges only what is sent from now on. */
        void judgeFromNow() {
            judgedFromNanos = System.nanoTime();
            lost.clear();
        }

        private void ask(String name) {
            for (int number = 0; !over; ) {
                try (Socket socket = connect(port)) {
                    boolean open = true;
                    while (open && !over) {
                        open = askOnce(socket, name + "-" + number++);
                        Thread.sleep(10);
                    }
                } catch (IOException e) {
                    lost.add(name + ": " + e);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        /** Returns whether the connection stays open. A request that crosses its end is not judged. */
        private boolean askOnce(Socket socket, String key) {
            long sentNanos = System.nanoTime();
            try {
                ReceivedAnswer answer = UpgradeWithStoreTest.ask(socket, key, "1");
                if (answer.status() == 200) {
                    served.put(key, answer.body());
                }
                return !answer.closes();
            } catch (IOException e) {
                long tookMs = (System.nanoTime() - sentNanos) / 1_000_000;
                if (!over && sentNanos - judgedFromNanos >= 0 && (tookMs > BUDGET_MS || !killing && tookMs > NODE_MS)) {
                    lost.add(key + " after " + tookMs + " ms: " + e);
                }
                return false;
            }
        }

        @Override
        public void close() {
            over = true;
            try {
                for (Thread thread : threads) {
                    thread.join(BUDGET_MS + LATE_MS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
