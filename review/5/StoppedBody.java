import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** One client stops in the middle of a long body and stays. It has to get its error or a close within 3 s. */
final class StoppedBody {

    private static final int BODY = 8_000_000;
    private static final int SENT_PART = 4_000_000;
    /** "the 3 s that bad clients are owed", and the 50 ms that the protocol adds on sockets. */
    private static final int OWED_MS = 3050;

    private static final int WATCHED_MS = 20_000;

    private StoppedBody() {}

    public static void main(String[] arguments) throws IOException {
        Kit.main(arguments, StoppedBody::run);
    }

    private static int run(Kit kit) throws Exception {
        Configuration configuration = new Configuration(kit)
                .lane("window-read", "retryable", 1500, 6000, 5000, 3)
                .lane("event-submit", "fragile", 1500, 6000, 5000, 10);
        Discovery discovery = new Discovery(kit, "agent", 1);
        for (int i = 0; i < 6; i++) {
            discovery.add(new Node("s-" + i, request -> "ran " + request.field("x-call-id")), "Ready");
        }
        configuration.known = discovery.whole().trim();
        configuration.write(discovery.port);
        SidecarProcess sidecar = kit.start("n0", configuration.environment());
        sidecar.awaitReady(configuration.port, 30_000);
        double tookMs;
        try (Client client = new Client(configuration.port)) {
            String head = "POST /event-submit HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + Client.newCallId()
                    + "\r\nX-Budget-Ms: 6000\r\nContent-Length: " + BODY + "\r\n\r\n";
            client.send(head.getBytes(StandardCharsets.US_ASCII));
            int toSend = kit.trouble ? SENT_PART : BODY;
            byte[] part = "x".repeat(10_000).getBytes(StandardCharsets.US_ASCII);
            for (int done = 0; done < toSend; done += part.length) {
                client.socket.getOutputStream().write(part);
            }
            double stoppedMs = kit.nowMs();
            kit.note("the client has sent " + toSend + " of " + BODY + " bytes");
            String end;
            try {
                end = client.answer(WATCHED_MS).firstLine();
            } catch (java.net.SocketTimeoutException e) {
                end = "neither answer nor close for " + WATCHED_MS + " ms";
            } catch (IOException e) {
                end = "closed: " + e.getMessage();
            }
            tookMs = kit.nowMs() - stoppedMs;
            kit.say("the client got after " + Math.round(tookMs) + " ms: " + end);
        }
        sidecar.noteLog(8);
        return tookMs > OWED_MS || !sidecar.isAlive() ? Kit.BROKEN : Kit.HELD;
    }
}
