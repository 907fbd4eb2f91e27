import java.util.ArrayList;
import java.util.List;

/** A bad client that sends the id of another client's open request, and the same again as soon as it is turned away. */
final class RepeatedId {

    private static final int ROUNDS = 5;

    public static void main(String[] arguments) throws Exception {
        Stand stand = new Stand(arguments[0]);
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(stand.new Node("node-" + i, i % 2 == 0 ? "sanluis" : "malargue", (node, request, out) -> {
                Stand.sleep(300);
                return Stand.ok("made for " + request.id());
            }));
        }
        Stand.Agent agent = stand.new Agent(nodes);
        Stand.Sidecar sidecar = stand.new Sidecar(agent, Stand.LANES);
        sidecar.start();
        List<String> broken = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            String id = "9b1f03aa5c7e2d4" + round;
            try (Stand.Client client = new Stand.Client(sidecar.port)) {
                client.send(Stand.post("event-submit", id, 6000, "record"));
                stand.note("client sends event-submit " + id);
                Thread bad = Stand.TROUBLE ? Stand.run(() -> repeat(stand, sidecar.port, id, broken)) : null;
                Stand.Message answer = client.answer(7000);
                stand.note("client is answered " + (answer == null ? "nothing" : answer.status() + " " + answer.text()));
                if (bad != null) {
                    bad.join(5000);
                } else {
                    Stand.sleep(1500);
                }
            }
            int runs = nodes.stream().mapToInt(node -> node.runs(id)).sum();
            stand.note(id + " was begun " + runs + " times");
            if (runs > 1) {
                synchronized (broken) {
                    broken.add("event-submit " + id + " must never run twice, and was begun " + runs + " times");
                }
            }
        }
        stand.verdict(broken);
    }

    /** Sends the id while it is open, and again 20 ms behind each answer, for 2 s on one connection. */
    private static void repeat(Stand stand, int port, String id, List<String> broken) throws Exception {
        Stand.sleep(100);
        double until = Stand.now() + 2000;
        int turnedAway = 0;
        try (Stand.Client bad = new Stand.Client(port)) {
            while (Stand.now() < until) {
                bad.send(Stand.post("event-submit", id, 6000, "other"));
                Stand.Message answer = bad.answer(3000);
                if (answer == null || answer.status() == 200) {
                    stand.note("bad client was turned away " + turnedAway + " times, then got "
                            + (answer == null ? "the end of its connection" : answer.status() + " " + answer.text()));
                    if (answer != null) {
                        synchronized (broken) {
                            broken.add("the bad client was served for " + id);
                        }
                    }
                    return;
                }
                turnedAway++;
                Stand.sleep(20);
            }
        }
        stand.note("bad client was turned away " + turnedAway + " times");
    }
}
