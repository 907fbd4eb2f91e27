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

/**
 * Checks that nothing is sent before it is on the disk, with a disk that holds back each force and a manual
 * dispatcher.
 */
@Timeout(30)
class PromiseRequestHandlerTest {

    private static final Limits LIMITS = new Limits(1 << 22, 1 << 16, 1 << 12, 1 << 20);

    /** A disk on which each force waits for a permit, and may then fail. */
    private static final class GatedDisk implements Disk {
        private final Disk real;
        final Semaphore permits = new Semaphore(1000);
        volatile boolean failing;
        final LinkedBlockingQueue<String> forces = new LinkedBlockingQueue<>();

        GatedDisk(Disk real) {
            this.real = real;
        }

        private void awaitPermit() throws IOException {
            forces.add("force");
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
                    awaitPermit();
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

    /** Keeps the requests that it is given; the test answers them. */
    private static final class ManualDispatcher implements RequestHandler {
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
        public void bodyCompleted(int number, double earliestMs) {}

        @Override
        public void clientDisconnected(int number) {
            // The test decides the outcome of the request.
        }
    }

    @TempDir
    Path dir;

    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    private final ManualDispatcher dispatcher = new ManualDispatcher();
    private final List<String> answers = new ArrayList<>();
    private GatedDisk disk;
    private PromiseRequestHandler handler;

    @AfterEach
    void close() throws Exception {
        disk.permits.release(1000);
        handler.close();
        loop.shutdownNow();
    }

    private void open(boolean letThrough) throws Exception {
        disk = new GatedDisk(FileSystemDisk.lock(dir));
        Clock clock = Clock.system();
        handler = new PromiseRequestHandler(
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
        handler.setDispatcher(dispatcher);
        disk.permits.drainPermits();
        disk.forces.clear();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private void submit(String event, double budgetMs) throws Exception {
        onLoop(() -> handler.handle(
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
                answer -> answers.add(
                        answer.status() + " " + new String(answer.body(), StandardCharsets.UTF_8).strip())));
    }

    /** Waits until a force is requested. */
    private void awaitForce() throws InterruptedException {
        assertEquals("force", disk.forces.poll(10, TimeUnit.SECONDS));
    }

    private List<String> answers() throws Exception {
        return onLoop(() -> List.copyOf(answers));
    }

    private void awaitAnswers(int count) throws Exception {
        while (answers().size() < count) {
            Thread.sleep(1);
        }
    }

    /** Records a request. The returned latch opens when the request may be sent. */
    private CountDownLatch recordRequest(int request) throws Exception {
        CountDownLatch sendable = new CountDownLatch(1);
        onLoop(() -> {
            dispatcher
                    .requests
                    .get(request)
                    .sendRecord()
                    .record(
                            () -> {
                                dispatcher.requests.get(request).sendRecord().attemptStarted();
                                sendable.countDown();
                            },
                            () -> dispatcher.clients.get(request).accept(Answer.refused(100)));
            return null;
        });
        return sendable;
    }

    @Test
    void requestAndAnswerAreSentOnlyAfterTheyAreOnTheDisk() throws Exception {
        open(false);
        submit("a", 5000);
        CountDownLatch sendable = recordRequest(0);
        awaitForce();
        onLoop(() -> null);
        assertEquals(1, sendable.getCount(), "the request must wait for the force");
        disk.permits.release();
        sendable.await();
        onLoop(() -> {
            dispatcher.clients.get(0).accept(Answer.served("text/plain", "ran".getBytes(StandardCharsets.UTF_8)));
            return null;
        });
        awaitForce();
        assertEquals(List.of(), answers());
        assertEquals(
                1, onLoop(() -> handler.unanswered()), "a request whose answer is being recorded counts as unanswered");
        disk.permits.release();
        awaitAnswers(1);
        assertEquals(List.of("200 ran"), answers());
    }

    @Test
    void slowOrFailedForceMayLoseAnAnswerButNeverAPromise() throws Exception {
        open(false);
        submit("slow", 300);
        CountDownLatch sendable = recordRequest(0);
        disk.permits.release();
        sendable.await();
        onLoop(() -> {
            dispatcher.clients.get(0).accept(Answer.served(null, "ran".getBytes(StandardCharsets.UTF_8)));
            return null;
        });
        awaitAnswers(1); // the deadline passes while the force is still blocked
        assertTrue(answers().get(0).startsWith("504"), answers().toString());
        disk.permits.release(100);
        submit("slow", 3000);
        awaitAnswers(2);
        assertEquals("200 ran", answers().get(1), "the answer was recorded after the timeout");

        submit("lost", 3000);
        recordRequest(1).await();
        disk.failing = true;
        onLoop(() -> {
            dispatcher.clients.get(1).accept(Answer.served(null, "ran".getBytes(StandardCharsets.UTF_8)));
            return null;
        });
        awaitAnswers(3);
        assertEquals(
                "502 it has run, and its answer could not be recorded: in doubt",
                answers().get(2));
        submit("lost", 3000);
        assertTrue(answers().get(3).startsWith("409"), answers().toString());
        submit("new", 3000);
        assertEquals("503", answers().get(4).strip(), "no request is accepted while the store fails");
        assertEquals(2, dispatcher.requests.size());
        disk.failing = false; // the store recovers by itself, without a request that tries it
        for (int i = 4; answers().size() > i; i++) {
            submit("new", 3000);
            Thread.sleep(5);
        }
        assertEquals(3, dispatcher.requests.size());
    }

    @Test
    void requestIsSentWithoutARecordIfTheSettingsLetItThrough() throws Exception {
        open(true);
        disk.failing = true;
        disk.permits.release(1000);
        submit("a", 3000);
        recordRequest(0).await();
        onLoop(() -> {
            dispatcher.clients.get(0).accept(Answer.served(null, "ran".getBytes(StandardCharsets.UTF_8)));
            return null;
        });
        awaitAnswers(1);
        assertEquals("200 ran", answers().get(0));
    }

    @Test
    void tenThousandRequestsInDoubtSurviveARestart() throws Exception {
        open(false);
        disk.permits.release(1_000_000);
        List<CountDownLatch> sendable = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            submit("e" + i, 3000);
            sendable.add(recordRequest(i));
        }
        for (CountDownLatch each : sendable) {
            each.await();
        }
        handler.close();
        open(false);
        submit("e0", 3000);
        submit("e9999", 3000);
        assertEquals(2, answers().size());
        assertTrue(
                answers().stream().allMatch(each -> each.startsWith("409")),
                answers().toString());
    }
}
