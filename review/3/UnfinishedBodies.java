import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients that never finish a request: each sends the larger part of a body of usual size at the pace of a slow
 * client, and stays. Beside them the application sends small requests. The sidecar must not end.
 */
final class UnfinishedBodies {

    /** Of the "thousands" that the page names; fewer than the sidecar takes with 1,024 descriptors (700). */
    private static final int CROWD = 650;
    /** Under the 64 KiB of a usual body. */
    private static final int BODY = 65_000;
    private static final int SENT_PART = 57_600;
    /** "a body at 64 kB a second". */
    private static final int BYTES_PER_STEP = 6_400;
    private static final int STEP_MS = 100;
    private static final int SMALL_BODY = 2_000;
    private static final int WATCHED_MS = 10_000;

    private final Kit kit;
    private final Configuration configuration;
    private final AtomicInteger crowdAnswers = new AtomicInteger();
    private final AtomicInteger crowdEnds = new AtomicInteger();
    private int sent;
    private int answered;

    private UnfinishedBodies(Kit kit) throws IOException {
        this.kit = kit;
        this.configuration = new Configuration(kit)
                .lane("window-read", "retryable", 1500, 6000, 5000, 3)
                .lane("event-submit", "fragile", 1500, 6000, 5000, 10);
    }

    public static void main(String[] arguments) throws IOException {
        Kit.main(arguments, kit -> new UnfinishedBodies(kit).run());
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery(kit, "agent", 1);
        for (int i = 0; i < 6; i++) {
            discovery.add(new Node("s-" + i, request -> "ran " + request.field("x-call-id")), "Ready");
        }
        configuration.known = discovery.whole().trim();
        configuration.write(discovery.port);
        SidecarProcess sidecar = kit.start("n0", configuration.environment());
        sidecar.awaitReady(configuration.port, 30_000);
        double beginMs = kit.nowMs() + 500;
        List<Thread> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            int number = i;
            Thread client = new Thread(() -> joinCrowd(number, beginMs));
            client.setDaemon(true);
            client.start();
            crowd.add(client);
        }
        sendSmallRequests(beginMs + WATCHED_MS, sidecar);
        boolean crashed = !sidecar.isAlive();
        for (Thread client : crowd) {
            client.join(1000);
        }
        sidecar.noteLog(12);
        kit.say("crowd: " + CROWD + " clients, " + crowdAnswers + " of them answered, " + crowdEnds
                + " ended without an answer; small requests: " + sent + " sent whole, " + answered + " answered");
        kit.say("the sidecar " + (crashed ? "has ended with exit code " + sidecar.exitCode() : "runs"));
        return crashed || answered < sent ? Kit.BROKEN : Kit.HELD;
    }

    /** Sends a part of a request and stays; without trouble, sends a small request whole. */
    private void joinCrowd(int number, double beginMs) {
        int length = kit.trouble ? BODY : SMALL_BODY;
        int toSend = kit.trouble ? SENT_PART : SMALL_BODY;
        int done = 0;
        try (Client client = connectAt(beginMs)) {
            String head = "POST /event-submit HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + Client.newCallId()
                    + "\r\nX-Budget-Ms: 6000\r\nContent-Length: " + length + "\r\n\r\n";
            // The head goes with the first bytes of the body, as one write.
            done = Math.min(BYTES_PER_STEP, toSend);
            client.send((head + "x".repeat(done)).getBytes(StandardCharsets.US_ASCII));
            byte[] step = "x".repeat(BYTES_PER_STEP).getBytes(StandardCharsets.US_ASCII);
            while (done < toSend) {
                kit.sleepUntil(beginMs + (double) done * STEP_MS / BYTES_PER_STEP);
                int bytes = Math.min(step.length, toSend - done);
                client.socket.getOutputStream().write(step, 0, bytes);
                done += bytes;
            }
            Http.Message answer = client.answer(WATCHED_MS);
            kit.note("crowd " + number + ", sent " + done + " of " + length + " bytes: " + answer.firstLine());
            crowdAnswers.incrementAndGet();
        } catch (IOException | InterruptedException e) {
            kit.note("crowd " + number + ", sent " + done + " of " + length + " bytes: " + e);
            crowdEnds.incrementAndGet();
        }
    }

    private Client connectAt(double ms) throws IOException, InterruptedException {
        kit.sleepUntil(ms);
        return new Client(configuration.port);
    }

    private void sendSmallRequests(double untilMs, SidecarProcess sidecar) throws InterruptedException {
        Caller caller = new Caller(configuration.port);
        while (kit.nowMs() < untilMs && sidecar.isAlive()) {
            try {
                Http.Message answer = caller.call(Client.get("/window-read", "", 3000), 3500);
                sent++;
                answered++;
                kit.note("small request: " + answer.firstLine());
            } catch (Caller.NotSentException e) {
                kit.note("small request not sent: " + e.getMessage());
            } catch (IOException e) {
                sent++;
                kit.note("small request sent whole, no answer: " + e);
            }
            Thread.sleep(100);
        }
    }
}
