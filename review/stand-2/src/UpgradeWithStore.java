import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A sidecar that keeps its promises in a store is upgraded while it serves. */
final class UpgradeWithStore {

    private static final int CLIENTS = 6;
    private static final int BUDGET_MS = 3000;
    /** Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer on sockets. */
    private static final int LATE_MS = 550;
    /** SIGKILL comes the longest deadline, counted as 3 s if it is longer, and 0.7 s after SIGTERM. */
    private static final double KILL_MS = 3700;

    public static void main(String[] arguments) throws Exception {
        Stand stand = new Stand(arguments[0]);
        boolean store = !"0".equals(System.getenv("STORE"));
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(stand.new Node("node-" + i, "sanluis", (node, request, out) -> {
                Stand.sleep(100);
                return Stand.ok("made for " + request.id());
            }));
        }
        Stand.Agent agent = stand.new Agent(nodes);
        Stand.Sidecar sidecar = stand.new Sidecar(agent, Stand.LANES);
        if (store) {
            Path operator = stand.folder().resolve("operator.toml");
            Files.writeString(operator, "[store]\nfolder = \"" + stand.folder().resolve("store") + "\"\nfirst_start = \"make\"\n");
            sidecar.environment.put("EDGE_OPERATOR", operator.toString());
        }
        sidecar.start();
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Stand.run(() -> {
                for (int asked = 0; !stopped.get(); ) {
                    try (Stand.Client client = new Stand.Client(sidecar.port)) {
                        Stand.Message answer;
                        do {
                            client.send(Stand.post("event-submit", "c" + number + "-" + asked++, BUDGET_MS, "record"));
                            double sentMs = Stand.now();
                            answer = client.answer(BUDGET_MS + LATE_MS);
                            if (answer != null) {
                                answered.incrementAndGet();
                            } else if (Stand.now() - sentMs > BUDGET_MS) {
                                unanswered.incrementAndGet();
                                stand.note("client " + number + " gets no answer in its time");
                            }
                            Stand.sleep(50);
                        } while (answer != null && !answer.closes() && !stopped.get());
                    } catch (java.io.IOException e) {
                        Stand.sleep(50);
                    }
                }
            });
        }
        Stand.sleep(2000);
        List<String> broken = new ArrayList<>();
        if (Stand.TROUBLE) {
            Process old = sidecar.process;
            if (!sidecar.upgrade()) {
                broken.add("the new process did not say yes in 6 s"
                        + (sidecar.process.isAlive() ? "" : ": it has ended with " + sidecar.process.exitValue()));
                sidecar.log().lines().filter(line -> line.startsWith("ivybank:")).forEach(line -> stand.note("its log: " + line));
                Stand.sleep(6000);
            }
            stand.note("SIGTERM to the old process");
            old.destroy();
            Stand.sleep(KILL_MS);
            old.destroyForcibly();
            stand.note("the old process has ended");
        }
        Stand.sleep(6000);
        stopped.set(true);
        stand.note(answered + " requests answered, " + unanswered + " not");
        if (unanswered.get() > 0) {
            broken.add(unanswered + " requests got no answer");
        }
        stand.verdict(broken);
    }
}
