import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Nodes write some of their short answers in small pieces that do not come to an end. */
final class EndlessAnswer {

    private static final int REQUESTS = 6;
    private static final int BUDGET_MS = 3000;
    /** Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer on sockets. */
    private static final int LATE_MS = 550;

    public static void main(String[] arguments) throws Exception {
        Stand stand = new Stand(arguments[0]);
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(stand.new Node("node-" + i, "sanluis", (node, request, out) -> {
                Stand.sleep(150);
                if (!Stand.TROUBLE || !request.id().startsWith("spoilt")) {
                    return Stand.ok("made for " + request.id());
                }
                out.write("HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                for (int piece = 0; piece < 100; piece++) {
                    out.write("a piece of 20 bytes ".getBytes(StandardCharsets.US_ASCII));
                    Stand.sleep(500);
                }
                return null;
            }));
        }
        Stand.Agent agent = stand.new Agent(nodes);
        Stand.Sidecar sidecar = stand.new Sidecar(agent, Stand.LANES);
        sidecar.start();
        List<String> broken = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String lane = i % 2 == 0 ? "event-submit" : "alert-ack";
            String id = (i < REQUESTS / 2 ? "spoilt-" : "whole-") + i;
            threads.add(Stand.run(() -> ask(stand, sidecar.port, lane, id, broken)));
            Stand.sleep(50);
        }
        for (Thread thread : threads) {
            thread.join(30_000);
        }
        stand.note("log of the sidecar:\n" + sidecar.log().lines().filter(line -> line.contains("attempt of") || line.contains("answer of")).toList());
        stand.verdict(broken);
    }

    private static void ask(Stand stand, int port, String lane, String id, List<String> broken) throws Exception {
        try (Stand.Client client = new Stand.Client(port)) {
            client.send(Stand.post(lane, id, BUDGET_MS, "x"));
            double lastMs = Stand.now();
            Thread reader = Stand.run(() -> {
                try {
                    Stand.Message answer = client.answer(20_000);
                    stand.note(id + " gets " + (answer == null ? "the end of its connection" : answer.first()) + " after "
                            + Math.round(Stand.now() - lastMs) + " ms");
                } catch (IOException e) {
                    stand.note(id + " gets a part and: " + e + " after " + Math.round(Stand.now() - lastMs) + " ms");
                }
            });
            reader.join(BUDGET_MS + LATE_MS);
            if (reader.isAlive()) {
                broken.add(id + " of class " + lane + " has neither a whole answer nor an end "
                        + Math.round(Stand.now() - lastMs) + " ms after it was sent, with " + BUDGET_MS + " ms of time");
            }
            reader.join(12_000);
        }
    }
}
