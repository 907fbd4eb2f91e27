import ivybank.store.Disk;
import ivybank.store.FileSystemDisk;
import ivybank.store.Limits;
import ivybank.store.Store;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sidecar comes back to a store that holds as many identities as it may, and many clients send long bodies at one time. */
final class FullStore {

    /** The standard value of {@code most}. */
    private static final int IDENTITIES = 100_000;
    private static final int ANSWER_BYTES = 200;
    private static final int CONNECTIONS = 250;
    private static final int BODY_BYTES = 60_000;
    private static final int USUAL_BODY_BYTES = 212;
    /** The classes of the deployment, with requests that have a key where the site has ones that have none. */
    private static final List<Stand.Lane> KEYED = Stand.LANES.stream()
            .map(lane -> lane.effect().equals("fragile")
                    ? new Stand.Lane(lane.name(), "dedup", "all", lane.aimMs(), lane.deadlineMs(), lane.windowMs(), lane.worth())
                    : lane)
            .toList();

    private static final double TRAFFIC_MS = 25_000;

    public static void main(String[] arguments) throws Exception {
        Stand stand = new Stand(arguments[0]);
        Path store = stand.folder().resolve("store");
        Path operator = stand.folder().resolve("operator.toml");
        Files.writeString(operator, "[store]\nfolder = \"" + store + "\"\n");
        if (new ProcessBuilder("java", "-jar", stand.root().resolve("target/ivybank.jar").toString(), "store", "init",
                                store.toString(), "--name", "n0")
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor()
                != 0) {
            stand.unable("the store could not be made");
        }
        fill(store);
        stand.note("the store holds " + IDENTITIES + " identities with their answers");
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(stand.new Node("node-" + i, "sanluis", (node, request, out) -> {
                Stand.sleep(300);
                return Stand.ok("made for " + request.id());
            }));
        }
        Stand.Agent agent = stand.new Agent(nodes);
        Stand.Sidecar sidecar = stand.new Sidecar(agent, KEYED);
        sidecar.environment.put("EDGE_OPERATOR", operator.toString());
        sidecar.start();
        String body = "x".repeat(Stand.TROUBLE ? BODY_BYTES : USUAL_BODY_BYTES);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        double untilMs = Stand.now() + TRAFFIC_MS;
        for (int i = 0; i < CONNECTIONS; i++) {
            int number = i;
            Stand.run(() -> {
                for (int asked = 0; Stand.now() < untilMs; ) {
                    try (Stand.Client client = new Stand.Client(sidecar.port)) {
                        while (Stand.now() < untilMs) {
                            String id = "c" + number + "-" + asked++;
                            client.send(Stand.post("event-submit", id, 6000, body)
                                    .replace("Content-Length", "Idempotency-Key: 5c0f6e1a2b3d4c59-" + id + "\r\nContent-Length"));
                            Stand.Message answer = client.answer(7000);
                            if (answer == null) {
                                unanswered.incrementAndGet();
                                break;
                            }
                            (answer.status() == 200 ? served : refused).incrementAndGet();
                            if (answer.status() != 200) {
                                Stand.sleep(100);
                            }
                        }
                    } catch (java.io.IOException e) {
                        unanswered.incrementAndGet();
                        Stand.sleep(100);
                    }
                }
            });
        }
        while (Stand.now() < untilMs && sidecar.process.isAlive()) {
            Stand.sleep(50);
        }
        boolean alive = sidecar.process.isAlive();
        stand.note(served + " requests served, " + refused + " refused or failed, " + unanswered
                + " ended with their connection; the process " + (alive ? "runs" : "has ended with " + sidecar.process.exitValue()));
        List<String> log = sidecar.log().lines().toList();
        log.stream().filter(line -> line.startsWith("memory") || line.startsWith("store") || line.startsWith("Terminating"))
                .forEach(line -> stand.note("log: " + line));
        List<String> broken = new ArrayList<>();
        if (!alive) {
            broken.add("the sidecar crashed: " + log.get(log.size() - 1));
        }
        stand.verdict(broken);
    }

    /** Writes what a sidecar has on record after so many requests, by the project's own store. */
    private static void fill(Path folder) throws Exception {
        Disk disk = FileSystemDisk.lock(folder);
        Store store = Store.open(disk, new Limits(64L << 20, 1 << 20, 64 << 10, 4 << 20), false, (key, value) -> {}, Thread::new);
        Semaphore waiting = new Semaphore(500);
        for (int i = 0; i < IDENTITIES; i++) {
            waiting.acquire();
            byte[] key = ("event-submit\n" + String.format("%032x", i * 0x9e3779b97f4a7c15L)).getBytes(StandardCharsets.UTF_8);
            ByteBuffer acked = ByteBuffer.allocate(13 + ANSWER_BYTES)
                    .put((byte) 2)
                    .putLong(System.currentTimeMillis())
                    .putShort((short) 200)
                    .putShort((short) 0);
            store.put(key, acked.array(), outcome -> waiting.release());
        }
        waiting.acquire(500);
        store.close();
    }
}
