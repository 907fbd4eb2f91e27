package ivybank.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Clock;
import ivybank.common.Json;
import ivybank.common.Log;
import ivybank.fleet.MemberState;
import ivybank.fleet.MembershipUpdate;
import ivybank.fleet.Message;
import ivybank.fleet.MessageCodec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Sidecars' peers on real sockets of this machine. */
@Timeout(60)
class PeerFleetTest {

    private static final String OLD = "00112233445566778899aabbccddeeff";
    private static final String NEW = "ffeeddccbbaa99887766554433221100";
    private static final long LONGEST_MS = 20_000;

    @TempDir
    Path dir;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    private final Clock clock = Clock.system();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<PeerFleet> fleets = new ArrayList<>();
    private final List<ByteArrayOutputStream> logs = new ArrayList<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Free addresses, all held until the last one is drawn: else the system may give the same one twice. */
    private static List<InetSocketAddress> free(int count) throws IOException {
        List<DatagramSocket> held = new ArrayList<>();
        List<InetSocketAddress> free = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
            held.add(socket);
            free.add((InetSocketAddress) socket.getLocalSocketAddress());
        }
        held.forEach(DatagramSocket::close);
        return free;
    }

    private Path keys(int memberIndex) {
        return dir.resolve("keys-" + memberIndex);
    }

    private PeerFleet start(int memberIndex, String key, String fleet) throws IOException {
        Files.writeString(keys(memberIndex), key);
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        logs.add(said);
        PeerFleet one = new PeerFleet(
                new PeerSettings(keys(memberIndex), fleet, "", "", List.of(), null),
                "n" + memberIndex,
                addresses.get(memberIndex),
                addresses,
                memberIndex,
                3,
                group.next(),
                clock,
                new Log(new PrintStream(said, true, StandardCharsets.UTF_8), clock),
                count -> {});
        one.open(false);
        one.ready();
        fleets.add(one);
        return one;
    }

    private void three() throws IOException {
        addresses.addAll(free(4)); // the fourth is nobody's
        for (int i = 0; i < 3; i++) {
            start(i, OLD, "one");
        }
        await(
                "all see all",
                () -> fleets.stream()
                        .allMatch(fleet -> view(fleet).path("peers").asInt() == 2));
    }

    private static JsonNode view(PeerFleet fleet) {
        try {
            return Json.MAPPER.readTree(fleet.asked().toCompletableFuture().get());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static long count(PeerFleet fleet, String of) {
        return view(fleet).path("counts").path(of).asLong();
    }

    private static void await(String what, BooleanSupplier holds) {
        long until = System.nanoTime() + LONGEST_MS * 1_000_000;
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.onSpinWait();
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    @Test
    void keysAreChangedOnOneAfterTheOtherAndNobodyLosesSight() throws Exception {
        three();
        long[] incarnationFile = fleets.stream()
                .mapToLong(fleet -> view(fleet).path("life").asLong())
                .toArray();
        for (String keys : List.of(OLD + "\n" + NEW, NEW + "\n" + OLD, NEW)) { // know it, use it, forget the old one
            for (int memberIndex = 0; memberIndex < 3; memberIndex++) {
                Files.writeString(keys(memberIndex), "# keys of the fleet\n" + keys + "\n");
                fleets.get(memberIndex).reload();
                long received = count(fleets.get(memberIndex), "received");
                PeerFleet one = fleets.get(memberIndex);
                await("it goes on hearing", () -> count(one, "received") > received + 2);
            }
        }
        for (int memberIndex = 0; memberIndex < 3; memberIndex++) {
            JsonNode view = view(fleets.get(memberIndex));
            assertEquals(2, view.path("peers").asInt(), view.toString());
            assertEquals(0, view.path("counts").path("given_up").asInt(), view.toString());
            assertEquals(incarnationFile[memberIndex], view.path("life").asLong(), "nobody was given up: " + view);
        }
    }

    @Test
    void halfWithAnotherKeyAloneIsNotHeardAndSaidToBeUnsigned() throws Exception {
        three();
        Files.writeString(keys(2), NEW);
        fleets.get(2).reload();
        await(
                "they part",
                () -> view(fleets.get(0)).path("peers").asInt() == 1
                        && view(fleets.get(2)).path("peers").asInt() == 0);
        assertTrue(count(fleets.get(0), "unsigned") > 0);
        assertTrue(logs.get(0).toString(StandardCharsets.UTF_8).contains("datagrams passed over as unsigned"));
        Files.writeString(keys(2), NEW + "\n" + OLD);
        fleets.get(2).reload();
        await(
                "and are together again",
                () -> fleets.stream()
                        .allMatch(fleet -> view(fleet).path("peers").asInt() == 2));
        Files.writeString(keys(1), "no key");
        fleets.get(1).reload();
        await(
                "it goes on",
                () -> logs.get(1)
                        .toString(StandardCharsets.UTF_8)
                        .contains("going on with the keys of before: " + keys(1) + ", line 1"));
        assertEquals(2, view(fleets.get(1)).path("peers").asInt());
    }

    @Test
    void whatIsForgedCutOffTooLongOrOfOthersIsCountedAndChangesNothing() throws Exception {
        three();
        InetSocketAddress nobody =
                addresses.get(3); // in the list, and free: what comes from there passes for a sidecar's
        JsonNode before = view(fleets.get(0));
        MembershipUpdate self = MembershipUpdate.announcement(3, 1_900_000_000_000L, 0, MemberState.READY, "n3", "");
        Message message = new Message(
                Message.Kind.GOSSIP,
                self,
                0,
                before.path("life").asLong(),
                1,
                0,
                0,
                -1,
                new int[0],
                List.of(MembershipUpdate.declaredDead(1, 1_900_000_000_000L, 0, MemberState.DEAD, 3)));
        PeerKeys good = PeerKeys.read(keys(0), MessageCodec.SIGNATURE_BYTES);
        Path other = Files.writeString(dir.resolve("other"), NEW);
        byte[] bytes = MessageCodec.encode(message, MessageCodec.fleetHash("one"), good.mark());
        byte[] newer = bytes.clone();
        newer[0] = 2;
        try (DatagramSocket socket = new DatagramSocket(nobody);
                DatagramSocket stranger = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            send(socket, bytes); // no signature
            send(socket, PeerKeys.read(other, MessageCodec.SIGNATURE_BYTES).sign(bytes, 0));
            send(socket, Arrays.copyOf(good.sign(bytes, 0), 40)); // cut off
            send(socket, new byte[0]);
            send(socket, new byte[2000]);
            send(socket, good.sign(MessageCodec.encode(message, MessageCodec.fleetHash("two"), 0), 0));
            send(socket, good.sign(newer, 0));
            send(socket, good.sign(Arrays.copyOf(bytes, 50), 0)); // signed, and makes no sense
            send(stranger, good.sign(bytes, 0));
        }
        await(
                "all were counted",
                () -> count(fleets.get(0), "unsigned") >= 4
                        && count(fleets.get(0), "too_long") == 1
                        && count(fleets.get(0), "other_fleet") == 1
                        && count(fleets.get(0), "other_version") == 1
                        && count(fleets.get(0), "malformed") == 1
                        && count(fleets.get(0), "unknown_address") == 1);
        JsonNode after = view(fleets.get(0));
        assertEquals(before.path("digest"), after.path("digest"));
        assertEquals(before.path("life"), after.path("life"));
        String said = logs.get(0).toString(StandardCharsets.UTF_8);
        assertEquals(
                1, said.lines().filter(line -> line.contains("unsigned")).count(), "one line, however many: " + said);
        assertFalse(said.contains("Exception"), said);
    }

    private void send(DatagramSocket from, byte[] bytes) throws IOException {
        from.send(new DatagramPacket(bytes, bytes.length, addresses.get(0)));
    }

    @Test
    void aSecondOneOfThatAddressDoesNotStartAndSaysWhy() throws Exception {
        three();
        String message =
                assertThrows(IOException.class, () -> start(1, OLD, "one")).getMessage();
        assertTrue(
                message.contains("cannot listen for peers on") && message.contains("another process of this name"),
                message);
    }

    @Test
    void aLifeOnFileRisesWhateverTheClockSaysAndADamagedFileIsSaid() throws IOException {
        Path file = dir.resolve("life");
        List<String> said = new ArrayList<>();
        assertEquals(1000, IncarnationFile.next(file, 1000, said::add));
        assertEquals(1001, IncarnationFile.next(file, 400, said::add));
        assertEquals(5000, IncarnationFile.next(file, 5000, said::add));
        assertEquals(List.of(), said);
        Files.writeString(file, "rubbish");
        assertEquals(6000, IncarnationFile.next(file, 6000, said::add));
        assertEquals(1, said.size());
        assertEquals(6001, IncarnationFile.next(file, 1, said::add));
        assertEquals(7, IncarnationFile.next(null, 7, said::add));
        IncarnationFile.next(dir.resolve("no/such/folder/life"), 8, said::add);
        assertEquals(2, said.size());
    }
}
