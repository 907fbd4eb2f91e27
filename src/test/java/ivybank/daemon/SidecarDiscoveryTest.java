package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.testing.FakeServer;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a sidecar with discovery: lists, watches that break, and moves to another address. */
@Timeout(30)
class SidecarDiscoveryTest extends SidecarTestBase {

    @Test
    void startsWithTheKnownListWhileDiscoveryIsDown() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        start(FakeServer.nobody(), host("s-1", upstream.address(), "Ready"));
        Client client = client();
        assertEquals(200, client.status(ready()));
        String answer = client.ask(read(3000));
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("body"), answer);
        assertTrue(client.ask(submit(3000)).endsWith("body"));
        assertTrue(upstream.nextRequest().startsWith("GET /read?obj=1 HTTP/1.1"));
        assertTrue(upstream.nextRequest().endsWith("hello"));
    }

    @Test
    void isNotReadyBeforeItHasAList() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        FakeServer discovery = serve(new FakeServer(connection -> {
            connection.read();
            asked.await();
            answerList(connection, 4, host("s-1", upstream.address(), "Ready"));
            connection.read();
            Thread.sleep(10_000);
        }));
        start(discovery.address(), "");
        Client client = client();
        assertEquals(503, client.status(ready()));
        asked.countDown();
        while (client.status(ready()) != 200) {
            Thread.sleep(5);
        }
        assertTrue(client.ask(read(3000)).endsWith("body"));
    }

    @Test
    void followsTheWatchAcrossPartialLinesAndResumesWhereItBroke() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        String gone = "{\"seq\":9,\"whole\":false,\"hosts\":[" + host("s-1", first.address(), "Gone") + ","
                + host("s-2", second.address(), "Ready") + "]}\n";
        FakeServer discovery = serve(new FakeServer(connection -> {
            for (String call = connection.read(); call != null; call = connection.read()) {
                if (!call.contains("stream=1")) {
                    answerList(connection, 7, host("s-1", first.address(), "Ready"));
                    continue;
                }
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
                if (call.contains("index=7")) {
                    connection.write(chunk(gone.substring(0, 50)));
                    Thread.sleep(30);
                    connection.write(chunk(gone.substring(50)) + chunk("{\"seq\":10,\"who"));
                    connection.socket.close();
                    return;
                }
            }
        }));
        start(discovery.address(), "");
        assertTrue(discovery.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
        assertTrue(discovery.nextRequest().contains("?stream=1&index=7 "));
        assertTrue(
                discovery.nextRequest().contains("?stream=1&index=9 "),
                "a partial line is dropped with its connection");
        String answer = client().ask(read(3000));
        assertTrue(answer.endsWith("two."), answer);
    }

    /** Starts a discovery that answers each call for the list, and each watch with one line and nothing more. */
    private FakeServer listThenOneLine(String line) throws IOException {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        return serve(new FakeServer(connection -> {
            for (String call = connection.read(); call != null; call = connection.read()) {
                if (!call.contains("stream=1")) {
                    answerList(connection, 7, host("s-1", upstream.address(), "Ready"));
                } else {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line));
                }
            }
        }));
    }

    @Test
    void closesASilentWatchBeforeMissedChangesTakeEffect() throws Exception {
        FakeServer discovery = listThenOneLine("\n");
        start(discovery.address(), "");
        assertNotNull(discovery.nextRequest());
        assertTrue(discovery.nextRequest().contains("index=7"));
        assertNotNull(discovery.nextRequest(), "within 5 s");
    }

    @Test
    void requestsTheFullListAfterAMalformedLine() throws Exception {
        FakeServer discovery = listThenOneLine("{\"seq\":}\n");
        start(discovery.address(), "");
        assertNotNull(discovery.nextRequest());
        assertTrue(discovery.nextRequest().contains("index=7"));
        assertTrue(discovery.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
    }

    @Test
    void theOldAddressIsUsedUntilTheNewOneAnswers() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        CountDownLatch proceed = new CountDownLatch(1);
        FakeServer old = discoveryServer(
                9,
                host("s-1", first.address(), "Ready"),
                proceed,
                host("s-1", first.address(), "Gone") + "," + host("s-2", second.address(), "Ready"));
        CountDownLatch answerNow = new CountDownLatch(1);
        FakeServer silentDiscovery = serve(new FakeServer(connection -> {
            connection.read();
            answerNow.await();
        }));
        start(old.address(), "");
        awaitAnswerEndingWith("one.");
        config(silentDiscovery.address(), "", 1024);
        sidecar.reload();
        assertNotNull(silentDiscovery.nextRequest());
        proceed.countDown();
        awaitAnswerEndingWith("two.");
        assertNotNull(silentDiscovery.requests.poll(2, TimeUnit.SECONDS), "a silent discovery is called again soon");
        answerNow.countDown();
    }

    @Test
    void anUnavailableAddressIsRetriedAndASignalEndsTheDelay() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        start(FakeServer.nobody(), host("s-1", first.address(), "Ready"));
        Thread.sleep(300); // until retries are slower
        config(FakeServer.nobody(), "", 1024);
        sidecar.reload();
        FakeServer next = discoveryServer(5, host("s-2", second.address(), "Ready"), new CountDownLatch(1), null);
        config(next.address(), "", 1024);
        sidecar.reload();
        awaitAnswerEndingWith("two.");
    }

    @Test
    void anOlderListFromANewAddressDoesNotRestoreDrainingOrRemovedNodes() throws Exception {
        FakeServer drains = serve(FakeServer.answering(FakeServer.OK.replace("body", "no 1")));
        FakeServer gone = serve(FakeServer.answering(FakeServer.OK.replace("body", "no 2")));
        FakeServer stays = serve(FakeServer.answering(FakeServer.OK));
        FakeServer added = serve(FakeServer.answering(FakeServer.OK.replace("body", "told")));
        String before = host("s-1", drains.address(), "Ready") + "," + host("s-2", gone.address(), "Ready");
        CountDownLatch proceed = new CountDownLatch(1);
        FakeServer old = discoveryServer(
                9,
                before + "," + host("s-3", stays.address(), "Ready"),
                proceed,
                host("s-1", drains.address(), "Terminating") + "," + host("s-2", gone.address(), "Gone") + ","
                        + host("s-4", added.address(), "Ready"));
        CountDownLatch restarted = new CountDownLatch(1);
        FakeServer next = discoveryServer(
                5,
                before + "," + host("s-3", stays.address(), "Ready"),
                restarted,
                host("s-1", drains.address(), "Ready").replace("\"born_ms\":0", "\"born_ms\":5"));
        start(old.address(), "");
        awaitAnswerEndingWith("no 1");
        proceed.countDown();
        awaitAnswerEndingWith("told");
        config(next.address(), "", 1024);
        sidecar.reload();
        assertNotNull(next.nextRequest());
        assertTrue(next.nextRequest().contains("index=5 "));
        drains.requests.clear();
        gone.requests.clear();
        for (int i = 0; i < 40; i++) {
            assertTrue(client().ask(read(3000)).endsWith("body"));
        }
        assertTrue(drains.requests.isEmpty() && gone.requests.isEmpty());
        restarted.countDown();
        awaitAnswerEndingWith("no 1"); // the same name, but another process
    }
}
