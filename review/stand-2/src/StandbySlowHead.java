import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sidecar is drained by its operators while clients are writing the heads of their requests slowly. */
final class StandbySlowHead {

    private static final int CLIENTS = 4;
    private static final double HEAD_FROM_MS = 1150;
    private static final double HEAD_TO_MS = 3080;
    private static final int PIECES = 10;
    private static final int NODE_MS = 1300;
    /** 4 s after the call, by the page; each time limit is 50 ms longer on sockets. */
    private static final double ENDED_BY_MS = 4050;
    private static final double RECENT_MS = 2000;

    public static void main(String[] arguments) throws Exception {
        Stand stand = new Stand(arguments[0]);
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(stand.new Node("node-" + i, "sanluis", (node, request, out) -> {
                Stand.sleep(request.id().startsWith("first") ? 50 : NODE_MS);
                return Stand.ok("made for " + request.id());
            }));
        }
        Stand.Agent agent = stand.new Agent(nodes);
        Stand.Sidecar sidecar = stand.new Sidecar(agent, Stand.LANES);
        sidecar.start();
        List<String> broken = new CopyOnWriteArrayList<>();
        List<Stand.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Stand.Client client = new Stand.Client(sidecar.port);
            client.send(Stand.post("alert-ack", "first-" + i, 6000, "x"));
            Stand.Message answer = client.answer(7000);
            if (answer == null || answer.status() != 200) {
                stand.unable("the first request of client " + i + " was not served");
            }
            clients.add(client);
        }
        double calledMs = Stand.now();
        if (sidecar.operator("/standby", "") != 200) {
            stand.unable("the sidecar did not say yes to the drain");
        }
        double yesMs = Stand.now();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Stand.run(() -> {
                try (Stand.Client client = clients.get(number)) {
                    ask(stand, client, number, calledMs, yesMs, broken);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join(20_000);
        }
        stand.verdict(broken);
    }

    private static void ask(Stand stand, Stand.Client client, int number, double calledMs, double yesMs, List<String> broken)
            throws Exception {
        String request = Stand.post("alert-ack", "second-" + number, 6000, "x");
        int last = Stand.TROUBLE ? PIECES - 1 : 0;
        for (int i = 0; i <= last; i++) {
            Stand.sleepUntil(calledMs + HEAD_FROM_MS + (HEAD_TO_MS - HEAD_FROM_MS) * i / (PIECES - 1));
            int to = i == last ? request.length() : (i + 1) * request.length() / PIECES;
            client.send(request.substring(i * request.length() / PIECES, to));
        }
        double lastMs = Stand.now();
        stand.note("client " + number + " has written its request, " + Math.round(lastMs - calledMs) + " ms after the call");
        Thread reader = Stand.run(() -> {
            Stand.Message answer = client.answer(8000);
            stand.note("client " + number + " gets " + (answer == null ? "nothing" : answer.status() + ", close " + answer.closes())
                    + ", " + Math.round(Stand.now() - calledMs) + " ms after the call");
            client.answer(8000);
            stand.note("client " + number + " sees the end of its connection " + Math.round(Stand.now() - calledMs)
                    + " ms after the call");
        });
        reader.join((long) Math.max(1, yesMs + ENDED_BY_MS - Stand.now()));
        if (reader.isAlive() && yesMs + ENDED_BY_MS - lastMs < RECENT_MS) {
            broken.add("client " + number + " is held " + Math.round(Stand.now() - yesMs)
                    + " ms after the yes, with a request that was whole "
                    + Math.round(Stand.now() - lastMs) + " ms ago");
        }
        reader.join(10_000);
    }
}
