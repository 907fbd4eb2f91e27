package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.handover.HandoverSnapshot;
import ivybank.handover.HandoverSnapshotFiles;
import ivybank.handover.LearnedState;
import ivybank.testing.FakeServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A client's connections: how many are kept, and which are closed for others' sake. */
@Timeout(30)
class SidecarConnectionsTest extends SidecarTestBase {

    /** Sends so many requests, of which so many are refused at once; the others stay in hand. */
    private void assertRefused(int refused, int requests) throws Exception {
        List<Client> sent = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sent.add(client());
            sent.get(i).write(read(5000).replace("Id: c", "Id: c" + toClose.size()));
        }
        for (int i = 0; i < refused; i++) {
            Client next = null;
            while (next == null) {
                for (Client each : sent) {
                    next = each.socket.getInputStream().available() > 0 ? each : next;
                }
            }
            assertTrue(next.read().startsWith("HTTP/1.1 503"));
            sent.remove(next);
        }
        Thread.sleep(100);
        for (Client each : sent) {
            assertEquals(0, each.socket.getInputStream().available(), "more are refused");
        }
    }

    /** What another process leaves while it has so many requests in hand; until it has been read. */
    private void leave(HandoverSnapshotFiles other, int inHand) throws Exception {
        for (int i = 0; i < 5; i++) {
            other.write(new HandoverSnapshot(
                    clock.monotonicMs(), inHand, 10, new LearnedState<>(1, 0, List.of(), Map.of(), Map.of())));
            Thread.sleep(60);
        }
    }

    @Test
    void whatTheDescriptorsDoNotHoldIsRefusedAtOnceAndNotLeftInTheBacklog() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        // Of nine descriptors to give away the client may have six, the last of them only to be refused.
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"), 24 + 9);
        String answer = "";
        Client last = null;
        while (!answer.startsWith("HTTP/1.1 503")) { // an idle connection may have made room meanwhile
            for (int i = 0; i < 6; i++) {
                last = client();
                assertEquals(200, last.status(ready()));
            }
            answer = last.ask(submit(5000));
        }
        assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 1.5\r\n"), answer);
        assertNull(last.read());
    }

    @Test
    void connectionsThatAreKeptButNotUsedGiveWayToOthers() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"), 24 + 9);
        for (int i = 0; i < 5; i++) {
            assertEquals(200, client().status(ready()));
        }
        // Six are more than are served; those that asked once go after a while, and the sixth is served.
        Client sixth = client();
        while (sixth.status(read(3000)) != 200) {
            sixth = client();
        }
        assertEquals(200, sixth.status(read(3000)));
    }

    @Test
    void whatAnotherProcessHasInHandLeavesTheClientFewerConnectionsForThisOne(@TempDir Path folder) throws Exception {
        FakeServer upstream = serve(new FakeServer(connection -> {
            connection.read();
            Thread.sleep(20_000);
        }));
        List<String> hosts = IntStream.range(0, 6)
                .mapToObj(i -> host("s-" + i, upstream.address(), "Ready"))
                .toList();
        // A third of 300 are the client's for requests: of these 100, 35 are kept free while another process is here,
        // else 15.
        inherited = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        start(FakeServer.nobody(), String.join(",", hosts), 300);
        sidecar.handOver(folder);
        HandoverSnapshotFiles other = new HandoverSnapshotFiles(folder, 1, said -> {});
        sidecar.company(true);
        leave(other, 55);
        assertRefused(2, 10 + 2);
        leave(other, 50);
        assertRefused(1, 5 + 1);
        sidecar.company(false);
        Thread.sleep(200); // the files are looked at each 50 ms
        assertRefused(0, 5);
    }

    @Test
    void whereEachRequestComesOnANewConnectionTheOldOnesAreClosedWithTheirAnswers() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        // Several nodes, so that none of their connections rests when the next request comes.
        start(
                FakeServer.nobody(),
                IntStream.rangeClosed(1, 8)
                        .mapToObj(i -> host("s-" + i, upstream.address(), "Ready"))
                        .collect(Collectors.joining(",")),
                24 + 40);
        String answer = "";
        for (int i = 0; !answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"); i++) {
            assertTrue(i < 300, "connections that ask once hold all that there are");
            answer = client().ask(read(3000)); // and keeps it
            Thread.sleep(10);
        }
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    }

    @Test
    void inACrowdHalfARequestThatStandsGivesWayAndOneThatIsWrittenSlowlyIsServed() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"), 24 + 9);
        Client slow = client();
        List<Client> standing = new ArrayList<>();
        String request = read(3000);
        for (int at = 0; at < request.length(); at += 10) { // for nearly 2 s
            slow.write(request.substring(at, Math.min(request.length(), at + 10)));
            if (standing.size() < 4) {
                Client half = client();
                half.write("GET /read HTT");
                standing.add(half);
            }
            Thread.sleep(200);
        }
        assertTrue(slow.read().startsWith("HTTP/1.1 200"));
        for (Client half : standing) {
            assertTrue(half.read().startsWith("HTTP/1.1 408"));
        }
    }

    @Test
    void aConnectionOnWhichNothingComesIsClosed() throws Exception {
        start(FakeServer.nobody(), host("s-1", FakeServer.nobody(), "Ready"));
        assertNull(client().read());
    }
}
