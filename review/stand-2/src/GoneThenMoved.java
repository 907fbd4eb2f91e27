import java.util.ArrayList;
import java.util.List;

/** A node that a whole list has left out is listed as ready, the same process, by an agent that lists reach later. */
final class GoneThenMoved {

    /** The grace is 500 ms; each time limit is 50 ms longer on sockets. */
    private static final double GRACE_MS = 550;

    private static final int NODE_MS = 300;

    public static void main(String[] arguments) throws Exception {
        Stand stand = new Stand(arguments[0]);
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(stand.new Node("node-" + i, "sanluis", (node, request, out) -> {
                Stand.sleep(NODE_MS);
                return Stand.ok("made for " + request.id());
            }));
        }
        Stand.Agent agent = stand.new Agent(nodes);
        Stand.Agent behind = stand.new Agent(nodes);
        Stand.Sidecar sidecar = stand.new Sidecar(agent, Stand.LANES);
        sidecar.start();
        Stand.run(() -> {
            for (int i = 0; ; i++) {
                String id = "submit-" + i;
                Stand.run(() -> {
                    try (Stand.Client client = new Stand.Client(sidecar.port)) {
                        client.send(Stand.post("event-submit", id, 6000, "record"));
                        Stand.Message answer = client.answer(7000);
                        if (answer == null || answer.status() != 200) {
                            stand.note(id + " gets " + (answer == null ? "nothing" : answer.status()));
                        }
                    }
                });
                Stand.sleep(40);
            }
        });
        Stand.sleep(3000);
        Stand.Node gone = nodes.get(0);
        agent.leaveOut(gone);
        double toldMs = Stand.now();
        Stand.sleep(700);
        if (Stand.TROUBLE) {
            sidecar.moveDiscovery(behind);
        }
        Stand.sleep(1900);
        stand.note(gone.host + " has ended");
        gone.close();
        Stand.sleep(400);
        gone.health = "Gone";
        behind.changed(gone);
        Stand.sleep(1000);
        long late;
        synchronized (gone.begun) {
            late = gone.begun.values().stream().flatMap(List::stream).filter(at -> at > toldMs + GRACE_MS).count();
        }
        List<String> broken = new ArrayList<>();
        if (late > 0) {
            broken.add(late + " requests came to " + gone.host + " later than " + GRACE_MS + " ms after it was told gone");
        }
        stand.verdict(broken);
    }
}
