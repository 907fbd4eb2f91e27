import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Nodes write some of their short answers in small pieces that do not come to an end, and stop within others. */
final class EndlessAnswer {

    private static final int REQUESTS = 9;
    /** A half and a third of the classes' 6 s: a try is given up after 34 to 100% of them. */
    private static final int BUDGET_MS = 3000;

    private static final int SHORT_BUDGET_MS = 2040;
    /** Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer on sockets. */
    private static final int LATE_MS = 550;

    private static final List<String> KINDS = List.of("pieces", "stops", "whole");
    private static final byte[] HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] PIECE = "a piece of 20 bytes ".getBytes(StandardCharsets.US_ASCII);

    /** Answers whole, in pieces without an end, or with half of an answer, by what the id of the request begins with. */
    private static byte[] answer(Stand.Node node, Stand.Message request, OutputStream out) throws Exception {
        if (!Stand.TROUBLE || request.id().startsWith("whole")) {
            Stand.sleep(150);
            return Stand.ok("made for " + request.id());
        }
        boolean stops = request.id().startsWith("stops");
        Stand.sleep(stops ? 1000 : 150);
        out.write(HEAD);
        for (int piece = 0; piece < 100; piece++) {
            out.write(PIECE);
            Stand.sleep(stops ? 600_000 : 500);
        }
        return null;
    }

    public static void main(String[] arguments) throws Exception {
        Stand stand = new Stand(arguments[0]);
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(stand.new Node("node-" + i, "sanluis", EndlessAnswer::answer));
        }
        Stand.Agent agent = stand.new Agent(nodes);
        Stand.Sidecar sidecar = stand.new Sidecar(agent, Stand.LANES);
        sidecar.start();
        List<String> broken = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String lane = i % 2 == 0 ? "event-submit" : "alert-ack";
            String id = KINDS.get(i * KINDS.size() / REQUESTS) + "-" + i;
            int budgetMs = id.startsWith("stops") ? SHORT_BUDGET_MS : BUDGET_MS;
            threads.add(Stand.run(() -> ask(stand, sidecar.port, lane, id, budgetMs, broken)));
            Stand.sleep(50);
        }
        for (Thread thread : threads) {
            thread.join(30_000);
        }
        stand.verdict(broken);
    }

    private static void ask(Stand stand, int port, String lane, String id, int budgetMs, List<String> broken)
            throws Exception {
        try (Stand.Client client = new Stand.Client(port)) {
            client.send(Stand.post(lane, id, budgetMs, "x"));
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
            reader.join(budgetMs + LATE_MS);
            if (reader.isAlive()) {
                broken.add(id + " of class " + lane + " has neither a whole answer nor an end "
                        + Math.round(Stand.now() - lastMs) + " ms after it was sent, with " + budgetMs + " ms of time");
            }
            reader.join(12_000);
        }
    }
}
