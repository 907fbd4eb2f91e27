package ivybank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import ivybank.testing.FakeServer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a sidecar that reloads its configuration. */
@Timeout(30)
class SidecarReloadTest extends SidecarTestBase {

    /**
     * Starts the real program with SIGHUP ignored, so that this test can send it signals.
     *
     * @param prefix the start of the command
     */
    private Process startIgnoringHangUp(String prefix, FakeServer discoveryServer) throws Exception {
        config(discoveryServer.address(), "", 1024);
        ProcessBuilder builder = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "trap '' HUP; " + prefix + " '"
                                + Path.of(System.getProperty("java.home"), "bin", "java")
                                + "' -XX:TieredStopAtLevel=1 -cp '"
                                + System.getProperty("java.class.path") + "' ivybank.Main serve")
                .redirectErrorStream(true)
                .redirectOutput(dir.resolve("out.log").toFile());
        builder.environment().put("EDGE_CONFIG", dir.resolve("config.json").toString());
        Process process = builder.start();
        toClose.add(process::destroyForcibly);
        return process;
    }

    @Test
    void followsDiscoveryToANewAddressAfterAReload() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        CountDownLatch moved = new CountDownLatch(1);
        FakeServer old = serve(new FakeServer(connection -> {
            connection.read();
            answerList(connection, 90, host("s-1", first.address(), "Ready"));
            connection.read();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            moved.await();
            connection.write(
                    chunk("{\"seq\":91,\"whole\":true,\"hosts\":[" + host("s-1", first.address(), "Ready") + "]}\n"));
        }));
        start(old.address(), "");
        assertNotNull(old.nextRequest());
        assertNotNull(old.nextRequest());
        Files.writeString(dir.resolve("config.json"), "{ half a fi");
        sidecar.reload();
        assertTrue(client().ask(read(3000)).endsWith("one."), "a malformed file has an effect");
        FakeServer next = serve(new FakeServer(connection -> {
            for (String call = connection.read(); call != null; call = connection.read()) {
                if (call.contains("stream=1")) {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
                } else {
                    answerList(connection, 5, host("s-2", second.address(), "Ready"));
                }
            }
        }));
        config(next.address(), "", 1024);
        sidecar.reload();
        sidecar.reload();
        assertTrue(next.nextRequest().startsWith("GET /registry/instances HTTP/1.1"));
        assertTrue(next.nextRequest().contains("index=5 "));
        moved.countDown();
        assertTrue(client().ask(read(3000)).endsWith("two."));
        assertEquals(1, next.accepted.size());
    }

    @Test
    void aPartlyWrittenConfigurationIsReadOnceItIsComplete() throws Exception {
        FakeServer first = serve(FakeServer.answering(FakeServer.OK.replace("body", "one.")));
        FakeServer second = serve(FakeServer.answering(FakeServer.OK.replace("body", "two.")));
        CountDownLatch never = new CountDownLatch(1);
        FakeServer old = discoveryServer(9, host("s-1", first.address(), "Ready"), never, null);
        FakeServer next = discoveryServer(5, host("s-2", second.address(), "Ready"), never, null);
        start(old.address(), "");
        awaitAnswerEndingWith("one.");
        for (String partial : List.of("", "{\"name\":\"n0\",\"discovery\":\"" + text(next.address()) + "\",\"sett")) {
            Files.writeString(dir.resolve("config.json"), partial);
            sidecar.reload();
            assertTrue(client().ask(read(3000)).endsWith("one."));
        }
        config(next.address(), "", 1024);
        awaitAnswerEndingWith("two.");
    }

    @Test
    void theLastOfTwoSignalsCounts() throws Exception {
        FakeServer upstream = serve(FakeServer.answering(FakeServer.OK));
        CountDownLatch never = new CountDownLatch(1);
        FakeServer old = discoveryServer(9, host("s-1", upstream.address(), "Ready"), never, null);
        FakeServer skipped = discoveryServer(9, host("s-1", upstream.address(), "Ready"), never, null);
        FakeServer last = discoveryServer(9, host("s-1", upstream.address(), "Ready"), never, null);
        start(old.address(), "");
        assertNotNull(old.nextRequest());
        config(skipped.address(), "", 1024);
        sidecar.reload();
        config(last.address(), "", 1024);
        sidecar.reload();
        assertNotNull(last.nextRequest());
        assertTrue(last.nextRequest().contains("stream=1"));
        assertEquals(200, client().status(read(3000)));
    }

    @Test
    void theDeployedCommandHandlesSighupEvenIfItsParentIgnoresIt() throws Exception {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run ="))
                .findFirst()
                .orElseThrow();
        String prefix = run.substring(run.indexOf('"') + 1, run.indexOf(" java "));
        CountDownLatch never = new CountDownLatch(1);
        FakeServer old = discoveryServer(9, "", never, null);
        FakeServer next = discoveryServer(5, "", never, null);
        Process process = startIgnoringHangUp(prefix, old);
        assertNotNull(old.requests.poll(20, TimeUnit.SECONDS));
        config(next.address(), "", 1024);
        new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid()))
                .start()
                .waitFor();
        assertNotNull(next.nextRequest(), () -> "the old address is still used: " + process);
    }

    @Test
    void withSighupIgnoredTheFileIsReadWhenDiscoveryHasClosed() throws Exception {
        FakeServer old = discoveryServer(9, "", new CountDownLatch(1), null);
        FakeServer next = discoveryServer(5, "", new CountDownLatch(1), null);
        startIgnoringHangUp("exec", old);
        assertNotNull(old.requests.poll(20, TimeUnit.SECONDS));
        assertNotNull(old.nextRequest());
        config(next.address(), "", 1024);
        old.close();
        assertNotNull(next.nextRequest());
        assertTrue(Files.readString(dir.resolve("out.log")).contains("SIGHUP is ignored"));
    }

    @Test
    void sighupDoesNotEndTheProcess() throws Exception {
        CountDownLatch signals = new CountDownLatch(2);
        assumeTrue(HangupSignal.listen(), "these tests run with SIGHUP ignored");
        HangupSignal.handle(signals::countDown);
        for (int i = 0; i < 2; i++) {
            long before = signals.getCount();
            new ProcessBuilder(
                            "kill",
                            "-HUP",
                            String.valueOf(ProcessHandle.current().pid()))
                    .start()
                    .waitFor();
            while (signals.getCount() == before) {
                Thread.sleep(5);
            }
        }
    }

    @Test
    void aMalformedConfigurationIsReportedInOneLine() throws Exception {
        Path file = dir.resolve("bad.json");
        assertThrows(ConfigException.class, () -> Config.load(Map.of()));
        for (String text : List.of(
                "{",
                "{}",
                "{\"settings\":{}}",
                "{\"settings\":{},\"name\":\"n\",\"listen\":\"x\"}",
                Files.readString(config(FakeServer.nobody(), "", 99)).replace("\"hardLimitMs\":6000,", ""),
                Files.readString(config(FakeServer.nobody(), "{}", 99)))) {
            Files.writeString(file, text);
            ConfigException e =
                    assertThrows(ConfigException.class, () -> Config.load(Map.of("EDGE_CONFIG", file.toString())));
            assertEquals(1, e.getMessage().lines().count(), e.getMessage());
        }
    }

    @Test
    void anInvalidSettingIsReportedInOneLineThatNamesIt() throws Exception {
        String good = Files.readString(config(FakeServer.nobody(), "", 99));
        for (String[] change : new String[][] {
            {"\"cancel\":true", "\"cancel\":1", "limits.cancel"},
            {"\"secondCopies\":true", "\"secondCopies\":\"yes\"", "limits.secondCopies"},
            {"\"idempotency\":\"fragile\"", "\"idempotency\":\"unsafe\"", "lanes.1.idempotency"},
            {"\"maxAttempts\":6", "\"maxAttempts\":0", "limits.maxAttempts"},
            {"\"maxAttempts\":6", "\"maxAttempts\":2.5", "limits.maxAttempts"},
            {"\"connectTimeoutMs\":250", "\"connectTimeoutMs\":\"soon\"", "limits.connectTimeoutMs"},
            {"\"connIdleMs\":60000", "\"connIdleMs\":-1", "limits.connIdleMs"},
            {"\"aimMs\":5000", "\"aimMs\":\"x\"", "lanes.1.aimMs"},
            {"\"aimMs\":5000", "\"aimMs\":-5000", "lanes.1.aimMs"},
            {"\"tickMs\":5", "\"tickMs\":\"NaN\"", "tickMs"},
            {"\"sockets\":99", "\"sockets\":\"all\"", "limits.sockets"},
            {"\"instances\":1", "\"instances\":-3", "instances"},
            {"\"tenants\":[]", "\"tenants\":[],\"membershipMode\":\"pull\"", "membershipMode"},
            {"\"tenants\":[]", "\"tenants\":[],\"contract\":{\"drainGraceMs\":0}", "contract.drainGraceMs"}
        }) {
            assertTrue(good.contains(change[0]), change[0]);
            Path file = Files.writeString(dir.resolve("bad.json"), good.replace(change[0], change[1]));
            ConfigException e = assertThrows(
                    ConfigException.class, () -> Config.load(Map.of("EDGE_CONFIG", file.toString())), change[1]);
            assertEquals(1, e.getMessage().lines().count(), e.getMessage());
            assertTrue(e.getMessage().contains(change[2]) && e.getMessage().contains(file.toString()), e.getMessage());
        }
    }
}
