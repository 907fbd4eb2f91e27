package ivybank.simhost;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.policy.LoadShiftingBalancer;
import ivybank.policy.NoOpBalancer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests frames byte for byte, malformed input, and the main class with real streams. */
class SimHostTest {

    private static final String SETTINGS = """
            unknown.key=whatever
            instances=2
            lanes.count=1
            lanes.0.aimMs=1000.0
            lanes.0.hardLimitMs=4000.0
            lanes.0.idempotency=retryable
            lanes.0.worth=1.0
            limits.maxAttempts=3
            limits.cancel=true
            tickMs=5.0
            """;

    /** Encodes one batch as the simulator does. */
    private static final class Frame {
        private final ByteBuffer body = ByteBuffer.allocate(1 << 20).order(ByteOrder.LITTLE_ENDIAN);
        private int records;

        Frame at(int instance) {
            return put(12, 2, b -> b.putShort((short) instance));
        }

        Frame spawn(long seed, String settings) {
            byte[] text = settings.getBytes(StandardCharsets.UTF_8);
            return put(
                    1,
                    12 + text.length,
                    b -> b.putLong(seed).putInt(text.length).put(text));
        }

        Frame inventory(int bank, int... upstreams) {
            return put(11, 5 + 22 * upstreams.length, b -> {
                b.put((byte) bank).putInt(upstreams.length);
                for (int upstream : upstreams) {
                    b.putDouble(0)
                            .putShort((short) 0)
                            .put((byte) 0)
                            .putShort((short) 0)
                            .putInt(upstream)
                            .putFloat(1)
                            .put((byte) 1);
                }
            });
        }

        Frame membership(int mode, int bank) {
            return put(2, 6, b -> b.put((byte) mode).putInt(1).put((byte) bank));
        }

        Frame call(int id) {
            return put(
                    3,
                    35,
                    b -> b.putInt(id)
                            .put((byte) 0)
                            .putLong(0)
                            .putShort((short) 0)
                            .putDouble(4000)
                            .putInt(0)
                            .putDouble(0));
        }

        Frame verdict(int id, int upstream, int attempt, int code, boolean complete) {
            return put(
                    5,
                    20,
                    b -> b.putInt(id)
                            .putDouble(20)
                            .put((byte) (complete ? 1 : 0))
                            .putInt(upstream)
                            .put((byte) attempt)
                            .put((byte) code)
                            .put((byte) 0));
        }

        Frame teardown() {
            return put(10, 0, b -> {});
        }

        Frame put(int code, int bytes, Consumer<ByteBuffer> fields) {
            int before = body.position();
            body.putShort((short) code);
            fields.accept(body);
            assertEquals(2 + bytes, body.position() - before, "record " + code);
            records++;
            return this;
        }

        byte[] bytes(double now, int number) {
            ByteBuffer frame = ByteBuffer.allocate(20 + body.position()).order(ByteOrder.LITTLE_ENDIAN);
            frame.putDouble(now).putInt(8 + body.position()).putInt(records).putInt(number);
            return frame.put(body.array(), 0, body.position()).array();
        }
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private static byte[] run(byte[] input) throws IOException {
        return run(LoadShiftingBalancer::new, input);
    }

    private static byte[] run(SimHost.Factory factory, byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimHost(factory, new ByteArrayInputStream(input), out).run();
        return out.toByteArray();
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        byte[] input = HexFormat.of().parseHex("00000000206ec040" + "08000000" + "00000000" + "01000000");
        assertEquals("0400000001000000", HexFormat.of().formatHex(run(input)));
    }

    @Test
    void actionsAreEncodedByteForByte() throws IOException {
        SimHost.Factory factory = (settings, seed, actions) -> new NoOpBalancer() {
            @Override
            public void timer(double nowMs, int token) {
                actions.send(0x5d3a91c4, 0x03124a07, 80);
                actions.cancel(7, 2);
                actions.refuse(7, 1.5);
                actions.probe(9);
                actions.fail(7);
                actions.log("two servers known");
                actions.closeIdle(9);
                actions.timer(500, 77);
                actions.subscribe(true);
                actions.fetchList();
            }
        };
        byte[] input = new Frame()
                .at(3)
                .spawn(1, SETTINGS)
                .put(7, 4, b -> b.putInt(77))
                .bytes(1, 12);
        String expected = "0c000000" + "0d000300"
                + "0100c4913a5d0000000000005440074a1203"
                + "04000700000002"
                + "020007000000000000000000f83f"
                + "060009000000"
                + "030007000000"
                + "0900110074776f2073657276657273206b6e6f776e"
                + "070009000000"
                + "05000000000000407f404d000000"
                + "0b0001"
                + "0c00";
        String reply = HexFormat.of().formatHex(run(factory, input));
        assertEquals(expected, reply.substring(8));
        assertEquals(expected.length() / 2, Integer.reverseBytes(Integer.parseUnsignedInt(reply.substring(0, 8), 16)));
    }

    @Test
    void reusedListNumbersApplyInOrder() throws IOException {
        byte[] input = new Frame()
                .at(0)
                .spawn(1, SETTINGS)
                .inventory(0, 41)
                .membership(2, 0)
                .at(1)
                .spawn(2, SETTINGS)
                .inventory(0, 42)
                .membership(2, 0)
                .at(0)
                .call(1)
                .at(1)
                .call(1)
                .bytes(100, 1);
        String reply = HexFormat.of().formatHex(run(input));
        assertTrue(reply.contains("29000000") && reply.contains("2a000000"), reply);
        int first = reply.indexOf("010001000000");
        int second = reply.indexOf("010001000000", first + 1);
        assertTrue(reply.indexOf("29000000") < second && second < reply.lastIndexOf("2a000000"), reply);
    }

    @Test
    void actionsOfAnInstanceDoNotDependOnOthers() throws IOException {
        List<byte[]> together = new ArrayList<>();
        List<byte[]> alone = new ArrayList<>();
        for (int batch = 1; batch < 40; batch++) {
            Frame both = new Frame();
            Frame one = new Frame();
            for (int instance = 0; instance < 2; instance++) {
                for (Frame frame : instance == 0 ? List.of(both) : List.of(both, one)) {
                    frame.at(instance);
                    if (batch == 1) {
                        frame.spawn(instance, SETTINGS).inventory(1, 1, 2, 3).membership(2, 1);
                    } else {
                        frame.call(batch);
                    }
                }
            }
            together.add(both.bytes(batch, batch));
            alone.add(one.bytes(batch, batch));
        }
        List<String> amongOthers = actionsOf(1, run(join(together.toArray(new byte[0][]))));
        assertTrue(
                amongOthers.size() > 12, "each upstream is sent its initial limit of attempts: " + amongOthers.size());
        assertEquals(actionsOf(1, run(join(alone.toArray(new byte[0][])))), amongOthers);
    }

    /** Returns the records of one instance in hexadecimal. */
    private static List<String> actionsOf(int instance, byte[] replies) {
        int[] sizes = {0, 18, 14, 6, 7, 14, 6, 6, 0, 4, 4, 3, 2, 4};
        List<String> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(replies).order(ByteOrder.LITTLE_ENDIAN);
        while (in.hasRemaining()) {
            int end = in.getInt(in.position()) + 4 + in.position();
            int currentInstance = -1;
            for (int at = in.position() + 8; at < end; ) {
                int code = in.getShort(at);
                int size = sizes[code] + (code == 9 || code == 10 ? in.getShort(at + 2) : 0);
                if (code == 13) {
                    currentInstance = in.getShort(at + 2);
                } else if (currentInstance == instance) {
                    records.add(HexFormat.of().formatHex(replies, at, at + size));
                }
                at += size;
            }
            in.position(end);
        }
        return records;
    }

    @Test
    void eventsAfterATeardownAreIgnored() throws IOException {
        byte[] input = new Frame()
                .at(0)
                .spawn(1, SETTINGS)
                .inventory(0, 41)
                .membership(2, 0)
                .teardown()
                .call(1)
                .bytes(100, 1);
        assertEquals("0400000001000000", HexFormat.of().formatHex(run(input)));
    }

    @Test
    void exceptionOfTheBalancerBecomesAPanic() throws IOException {
        SimHost.Factory factory = (settings, seed, actions) -> new NoOpBalancer() {
            @Override
            public void timer(double nowMs, int token) {
                throw new IllegalStateException("boom");
            }
        };
        byte[] input =
                new Frame().at(3).spawn(1, SETTINGS).put(7, 4, b -> b.putInt(1)).bytes(1, 1);
        assertTrue(HexFormat.of().formatHex(run(factory, input)).endsWith("0d000300" + "0a000400" + "626f6f6d"));
    }

    @Test
    void missingOrMalformedSettingsCauseAPanicWithAClearMessage() throws IOException {
        for (String settings :
                List.of("", "lanes.count=1\n", "lanes.count=one\n", SETTINGS.replace("4000.0", "soon"))) {
            String reply = new String(run(new Frame().at(0).spawn(1, settings).bytes(1, 1)), StandardCharsets.UTF_8);
            assertTrue(
                    reply.contains("class is needed")
                            || reply.contains("is missing")
                            || reply.contains("is not a number"),
                    reply);
        }
    }

    @Test
    void malformedFramesAreReportedWithTheirPosition() {
        byte[] good = new Frame().at(0).call(1).bytes(1, 9);
        assertMalformed("header bytes", Arrays.copyOf(good, 7));
        assertMalformed("input ends", Arrays.copyOf(good, good.length - 3));
        byte[] shorter = Arrays.copyOf(good, good.length - 3);
        shorter[8] = (byte) (shorter[8] - 3);
        assertMalformed("batch 9, record 1", shorter);
        byte[] huge = good.clone();
        huge[11] = 0x7f;
        assertMalformed("length field", huge);
        assertMalformed(
                "unknown event code 99", new Frame().at(0).put(99, 0, b -> {}).bytes(1, 1));
        assertMalformed("before any instance", new Frame().call(1).bytes(1, 1));
        byte[] fewer = new Frame().at(0).call(1).bytes(1, 1);
        fewer[12] = 1;
        assertMalformed("follow the last record", fewer);
        assertMalformed("outcome 9", new Frame().at(0).verdict(1, 1, 0, 9, true).bytes(1, 1));
        assertMalformed(
                "past the end",
                new Frame().at(0).put(11, 5, b -> b.put((byte) 0).putInt(-1)).bytes(1, 1));
    }

    private static void assertMalformed(String part, byte[] input) {
        MalformedFrameException thrown = assertThrows(MalformedFrameException.class, () -> run(input));
        assertTrue(thrown.getMessage().contains(part), thrown.getMessage());
    }

    @Test
    void mainClassServesStandardStreams(@TempDir Path dir) throws Exception {
        byte[] good = join(
                new Frame()
                        .at(0)
                        .spawn(1, SETTINGS)
                        .inventory(0, 41)
                        .membership(2, 0)
                        .call(1)
                        .bytes(5, 1),
                new Frame().bytes(10, 2));
        Result fine = launch(dir, good);
        assertEquals(0, fine.exit);
        assertEquals("", fine.err);
        assertArrayEquals(run(good), fine.out);
        Result cut = launch(dir, join(good, new byte[] {1, 2, 3}));
        assertTrue(cut.exit != 0);
        assertArrayEquals(fine.out, cut.out, "no output after the malformed frame");
        assertEquals("ivybank: input ends after 3 of 20 header bytes", cut.err.trim());
    }

    private record Result(int exit, byte[] out, String err) {}

    private static Result launch(Path dir, byte[] input) throws Exception {
        Path in = Files.write(dir.resolve("in"), input);
        Path out = dir.resolve("out");
        Path err = dir.resolve("err");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        "target/classes",
                        "ivybank.Main",
                        "simhost")
                .redirectInput(in.toFile())
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        return new Result(process.exitValue(), Files.readAllBytes(out), Files.readString(err));
    }
}
