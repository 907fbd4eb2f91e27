package ivybank.promises;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpMethod;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.exchange.Answer;
import ivybank.exchange.ClientRequest;
import ivybank.exchange.RequestHandler;
import ivybank.settings.SettingsParser;
import ivybank.store.Disk;
import ivybank.store.FileSystemDisk;
import ivybank.store.Limits;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** That nothing goes out before it is on the disk: a disk whose forces are let through one by one, and a driver by hand. */
@Timeout(30)
class OnRecordTest {

    private static final Limits LIMITS = new Limits(1 << 22, 1 << 16, 1 << 12, 1 << 20);

    /** Lets each force wait for a permit, or fail. */
    private static final class GatedDisk implements Disk {
        private final Disk real;
        final Semaphore permits = new Semaphore(1000);
        volatile boolean failing;
        final LinkedBlockingQueue<String> waiting = new LinkedBlockingQueue<>();

        GatedDisk(Disk real) {
            this.real = real;
        }

        private void pass() throws IOException {
            waiting.add("force");
            permits.acquireUninterruptibly();
            if (failing) {
                throw new IOException("the disk failed");
            }
        }

        private File gated(File file) {
            return new File() {
                @Override
                public long size() throws IOException {
                    return file.size();
                }

                @Override
                public int read(long at, ByteBuffer into) throws IOException {
                    return file.read(at, into);
                }

                @Override
                public int write(long at, ByteBuffer from) throws IOException {
                    return file.write(at, from);
                }

                @Override
                public void truncate(long size) throws IOException {
                    file.truncate(size);
                }

                @Override
                public void force() throws IOException {
                    pass();
                    file.force();
                }

                @Override
                public void close() throws IOException {
                    file.close();
                }
            };
        }

        @Override
        public List<String> names() throws IOException {
            return real.names();
        }

        @Override
        public File create(String name) throws IOException {
            return gated(real.create(name));
        }

        @Override
        public File open(String name) throws IOException {
            return gated(real.open(name));
        }

        @Override
        public void rename(String from, String to) throws IOException {
            real.rename(from, to);
        }

        @Override
        public void delete(String name) throws IOException {
            real.delete(name);
        }

        @Override
        public void forceNames() throws IOException {
            real.forceNames();
        }

        @Override
        public void close() throws IOException {
            real.close();
        }
    }

    /** Keeps what it is handed. */
    private static final class HandDriver implements RequestHandler {
        final List<ClientRequest> requests = new ArrayList<>();
        final List<Consumer<Answer>> clients = new ArrayList<>();

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public int unanswered() {
            return 0;
        }

        @Override
        public boolean isInFlight(String callId) {
            return false;
        }

        @Override
        public int handle(ClientRequest request, Consumer<Answer> client) {
            requests.add(request);
            clients.add(client);
            return requests.size();
        }

        @Override
        public void bodyCompleted(int number) {}

        @Override
        public void cancel(int number) {
            // The test says itself what becomes of it.
        }
    }

    @TempDir
    Path dir;

    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    private final HandDriver driver = new HandDriver();
    private final List<String> told = new ArrayList<>();
    private GatedDisk disk;
    private PromiseRequestHandler keeper;

    @AfterEach
    void close() throws Exception {
        disk.permits.release(1000);
        keeper.close();
        loop.shutdownNow();
    }

    private void open(boolean letThrough) throws Exception {
        disk = new GatedDisk(FileSystemDisk.lock(dir));
        Clock clock = Clock.system();
        keeper = new PromiseRequestHandler(
                new PromiseSettings("X-Event", 60_000, 20_000, letThrough),
                SettingsParser.parse("""
                lanes.count=1
                lanes.0.name=submit
                lanes.0.aimMs=1000
                lanes.0.hardLimitMs=6000
                lanes.0.idempotency=fragile
                lanes.0.worth=5
                limits.maxAttempts=6
                limits.maxRetryAfterMs=1500
                """),
                disk,
                LIMITS,
                false,
                loop,
                clock,
                new Log(new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8), clock));
        keeper.setDispatcher(driver);
        disk.permits.drainPermits();
        disk.waiting.clear();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private void ask(String event, double budgetMs) throws Exception {
        onLoop(() -> keeper.handle(
                new ClientRequest(
                        HttpMethod.POST,
                        "/submit",
                        "c",
                        null,
                        new byte[0],
                        0,
                        0,
                        false,
                        Clock.system().nowMs(),
                        budgetMs,
                        event,
                        null),
                answer -> told.add(answer.status() + " " + new String(answer.body(), StandardCharsets.UTF_8).strip())));
    }

    /** Waits until the disk is asked to force something. */
    private void awaitForce() throws InterruptedException {
        assertEquals("force", disk.waiting.poll(10, TimeUnit.SECONDS));
    }

    private List<String> told() throws Exception {
        return onLoop(() -> List.copyOf(told));
    }

    private void awaitTold(int count) throws Exception {
        while (told().size() < count) {
            Thread.sleep(1);
        }
    }

    /** Has the first request put on record; the latch falls when it may go out. */
    private CountDownLatch record(int request) throws Exception {
        CountDownLatch out = new CountDownLatch(1);
        onLoop(() -> {
            driver.requests
                    .get(request)
                    .sendRecord()
                    .record(
                            () -> {
                                driver.requests.get(request).sendRecord().attemptStarted();
                                out.countDown();
                            },
                            () -> driver.clients.get(request).accept(Answer.refused(100)));
            return null;
        });
        return out;
    }

    @Test
    void nothingGoesToANodeBeforeItIsOnTheDiskAndNoAnswerToTheClient() throws Exception {
        open(false);
        ask("a", 5000);
        CountDownLatch out = record(0);
        awaitForce();
        onLoop(() -> null);
        assertEquals(1, out.getCount(), "it waits for the force");
        disk.permits.release();
        out.await();
        onLoop(() -> {
            driver.clients.get(0).accept(Answer.served("text/plain", "ran".getBytes(StandardCharsets.UTF_8)));
            return null;
        });
        awaitForce();
        assertEquals(List.of(), told());
        assertEquals(1, onLoop(() -> keeper.unanswered()), "it counts as in hand");
        disk.permits.release();
        awaitTold(1);
        assertEquals(List.of("200 ran"), told());
    }

    @Test
    void aForceThatTakesTooLongOrFailsOnceCostsTheAnswerAndNeverAPromise() throws Exception {
        open(false);
        ask("slow", 300);
        CountDownLatch out = record(0);
        disk.permits.release();
        out.await();
        onLoop(() -> {
            driver.clients.get(0).accept(Answer.served(null, "ran".getBytes(StandardCharsets.UTF_8)));
            return null;
        });
        awaitTold(1); // the force is still out when its time is up
        assertTrue(told().get(0).startsWith("504"), told().toString());
        disk.permits.release(100);
        ask("slow", 3000);
        awaitTold(2);
        assertEquals("200 ran", told().get(1), "it was recorded all the same");

        ask("lost", 3000);
        record(1).await();
        disk.failing = true;
        onLoop(() -> {
            driver.clients.get(1).accept(Answer.served(null, "ran".getBytes(StandardCharsets.UTF_8)));
            return null;
        });
        awaitTold(3);
        assertEquals("502 it has run, and its answer could not be recorded: in doubt", told().get(2));
        ask("lost", 3000);
        assertTrue(told().get(3).startsWith("409"), told().toString());
        ask("new", 3000);
        assertEquals("503", told().get(4).strip(), "nothing is taken while the store fails");
        assertEquals(2, driver.requests.size());
        disk.failing = false; // it mends by itself, with no request to try it with
        for (int i = 4; told().size() > i; i++) {
            ask("new", 3000);
            Thread.sleep(5);
        }
        assertEquals(3, driver.requests.size());
    }

    @Test
    void whatCantBeRecordedIsRefusedOrLetThroughAsTheFileSays() throws Exception {
        open(true);
        disk.failing = true;
        disk.permits.release(1000);
        ask("a", 3000);
        record(0).await();
        onLoop(() -> {
            driver.clients.get(0).accept(Answer.served(null, "ran".getBytes(StandardCharsets.UTF_8)));
            return null;
        });
        awaitTold(1);
        assertEquals("200 ran", told().get(0));
    }

    @Test
    void tenThousandInDoubtAreThereAgainAfterAStart() throws Exception {
        open(false);
        disk.permits.release(1_000_000);
        List<CountDownLatch> out = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            ask("e" + i, 3000);
            out.add(record(i));
        }
        for (CountDownLatch each : out) {
            each.await();
        }
        keeper.close();
        open(false);
        ask("e0", 3000);
        ask("e9999", 3000);
        assertEquals(2, told().size());
        assertTrue(told().stream().allMatch(each -> each.startsWith("409")), told().toString());
    }
}
