package ivybank.rehearsal.stand;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Addresses;
import ivybank.common.Clock;
import ivybank.rehearsal.scenario.Scenario.Quality;
import ivybank.rehearsal.scenario.Scenario.Ways;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What lies between sidecars, with plain sockets in their place. */
@Timeout(60)
class RelaysTest {

    private static final int NET = 19; // days take 20 and more
    private static final int SILENCE_MS = 150;
    private static final int LONG_MS = 10_000;
    private static final int LONGEST_REPLAY_MS = 4_200; // a replay comes 2 to 4 s later

    private final MultiThreadIoEventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final World world = new World(null, acceptor, group.next(), Clock.system(), null, NET);
    private final WayFaults faults = new WayFaults(3);
    private final List<DatagramSocket> sockets = new ArrayList<>();
    private final List<ServerSocket> servers = new ArrayList<>();
    private PeerRelay peers;
    private LinkRelay links;

    @BeforeEach
    void open() throws IOException {
        for (int i = 0; i < 3; i++) {
            sockets.add(new DatagramSocket(0, InetAddress.getByName("127." + NET + ".1." + (1 + i))));
            servers.add(new ServerSocket(0, 10, InetAddress.getByName("127." + NET + ".1." + (1 + i))));
        }
        peers = new PeerRelay(
                world,
                sockets.stream()
                        .map(socket -> (InetSocketAddress) socket.getLocalSocketAddress())
                        .toList(),
                faults,
                1);
        links = new LinkRelay(
                world,
                servers.stream()
                        .map(server -> (InetSocketAddress) server.getLocalSocketAddress())
                        .toList(),
                faults);
    }

    @AfterEach
    void close() throws IOException {
        peers.close();
        links.close();
        sockets.forEach(DatagramSocket::close);
        for (ServerSocket server : servers) {
            server.close();
        }
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private Ways fault(int from, int to, boolean oneWay, Quality quality) {
        Ways ways = new Ways(List.of(from), List.of(to), List.of(), oneWay, quality);
        world.loop.submit(() -> faults.set(ways, true)).syncUninterruptibly();
        return ways;
    }

    private void over(Ways ways) {
        world.loop.submit(() -> faults.set(ways, false)).syncUninterruptibly();
    }

    private void send(int from, int to, byte... bytes) throws IOException {
        sockets.get(from).send(new DatagramPacket(bytes, bytes.length, Addresses.parse(peers.address(to, from))));
    }

    private DatagramPacket receive(int at, int waitMs) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[1000], 1000);
        sockets.get(at).setSoTimeout(waitMs);
        sockets.get(at).receive(packet);
        return packet;
    }

    private byte[] bytes(int at) throws IOException {
        DatagramPacket packet = receive(at, LONG_MS);
        return Arrays.copyOf(packet.getData(), packet.getLength());
    }

    private void nothing(int at) {
        assertThrows(SocketTimeoutException.class, () -> receive(at, SILENCE_MS));
    }

    @Test
    void aDatagramComesFromTheAddressByWhichTheReceiverKnowsTheSenderAndLongOnesNever() throws IOException {
        send(0, 1, (byte) 7);
        DatagramPacket packet = receive(1, LONG_MS);
        assertEquals(Addresses.parse(peers.address(0, 1)), packet.getSocketAddress());
        send(0, 1, new byte[257]);
        nothing(1);
        send(0, 1, new byte[256]);
        assertEquals(256, bytes(1).length);
        sockets.get(2).send(new DatagramPacket(new byte[1], 1, Addresses.parse(peers.address(1, 0))));
        nothing(1); // the third used the first one's address for the second
    }

    @Test
    void datagramsAreCutOneWayDoubledLateReplayedForgedAndThrottledAndNothingLasts() throws IOException {
        Ways cut = fault(0, 1, true, Quality.CUT);
        send(0, 1, (byte) 1);
        nothing(1);
        send(1, 0, (byte) 2);
        assertArrayEquals(new byte[] {2}, bytes(0));
        over(cut);
        send(0, 1, (byte) 3);
        assertArrayEquals(new byte[] {3}, bytes(1));
        Ways doubled =
                fault(0, 1, false, new Quality(false, 0, new double[] {0, 0}, 1, 0, Double.POSITIVE_INFINITY, 0, 0));
        send(1, 0, (byte) 4);
        assertArrayEquals(bytes(0), bytes(0));
        over(doubled);
        Ways late = fault(
                0, 1, false, new Quality(false, 0, new double[] {300, 300}, 0, 0, Double.POSITIVE_INFINITY, 0, 0));
        long sent = System.nanoTime();
        send(0, 1, (byte) 5);
        assertArrayEquals(new byte[] {5}, bytes(1));
        assertTrue(
                System.nanoTime() - sent >= TimeUnit.MILLISECONDS.toNanos(300),
                "never early, however busy the machine is");
        over(late);
        Ways slow = fault(0, 1, false, new Quality(false, 0, new double[] {0, 0}, 0, 0, 0.2, 0, 0));
        long since = System.nanoTime();
        send(0, 1, new byte[50]);
        send(0, 1, new byte[50]);
        bytes(1);
        bytes(1);
        assertTrue(System.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(450), "100 bytes at 200 a second");
        over(slow);
        byte[] like = new byte[60]; // a header of 32 bytes and a sender's word
        like[3] = 32;
        like[32] = 20;
        Ways forged =
                fault(0, 1, false, new Quality(false, 0, new double[] {0, 0}, 0, 0, Double.POSITIVE_INFINITY, 1, 0));
        send(0, 1, like);
        byte[] first = bytes(1);
        byte[] second = bytes(1);
        byte[] forgery = Arrays.equals(first, like) ? second : first;
        assertEquals(3, forgery[33], "says that its sender leaves");
        over(forged);
        Ways replayed =
                fault(0, 1, false, new Quality(false, 0, new double[] {0, 0}, 0, 0, Double.POSITIVE_INFINITY, 0, 1));
        send(0, 1, (byte) 6);
        assertArrayEquals(new byte[] {6}, bytes(1)); // it has met the fault by now, which only then is over
        over(replayed);
        assertArrayEquals(new byte[] {6}, bytes(1));
        send(0, 1, (byte) 8);
        assertArrayEquals(new byte[] {8}, bytes(1));
        assertThrows(SocketTimeoutException.class, () -> receive(1, LONGEST_REPLAY_MS));
    }

    private Socket link(int from, int to) throws IOException {
        Socket socket = new Socket();
        InetSocketAddress address = Addresses.parse(links.address(to, from));
        socket.connect(address, LONG_MS);
        socket.setSoTimeout(LONG_MS);
        return socket;
    }

    @Test
    void whatALinkCarriesIsHeldWhileItIsCutAndComesWholeAndInOrder() throws IOException {
        try (Socket from = link(0, 1);
                Socket to = servers.get(1).accept()) {
            to.setSoTimeout(LONG_MS);
            from.getOutputStream().write(1);
            assertEquals(1, to.getInputStream().read());
            Ways cut = fault(0, 1, true, Quality.CUT);
            from.getOutputStream().write(new byte[] {2, 3});
            to.getOutputStream().write(9);
            assertEquals(9, from.getInputStream().read(), "the other way is open");
            to.setSoTimeout(SILENCE_MS);
            assertThrows(SocketTimeoutException.class, () -> to.getInputStream().read());
            to.setSoTimeout(LONG_MS);
            over(cut);
            Ways late = fault(
                    0, 1, false, new Quality(false, 0.5, new double[] {0, 40}, 0, 0, Double.POSITIVE_INFINITY, 0, 0));
            for (int i = 4; i < 20; i++) {
                from.getOutputStream().write(i);
                from.getOutputStream().flush();
            }
            for (int i = 2; i < 20; i++) {
                assertEquals(i, to.getInputStream().read());
            }
            over(late);
        }
    }

    @Test
    void aLinkThatIsBegunOrEndedWhileItIsCutIsSoOnlyOnceItIsHealed() throws IOException {
        Ways cut = fault(0, 2, false, Quality.CUT);
        try (Socket from = link(0, 2)) {
            from.getOutputStream().write(5);
            servers.get(2).setSoTimeout(SILENCE_MS);
            assertThrows(SocketTimeoutException.class, () -> servers.get(2).accept());
            over(cut);
            servers.get(2).setSoTimeout(LONG_MS);
            try (Socket to = servers.get(2).accept()) {
                to.setSoTimeout(LONG_MS);
                assertEquals(5, to.getInputStream().read());
                Ways again = fault(0, 2, false, Quality.CUT);
                from.shutdownOutput();
                to.setSoTimeout(SILENCE_MS);
                assertThrows(
                        SocketTimeoutException.class, () -> to.getInputStream().read());
                over(again);
                to.setSoTimeout(LONG_MS);
                assertEquals(-1, to.getInputStream().read());
            }
        }
    }

    @Test
    void aSenderThatGoesOnIntoACutIsHeldUpAndNothingIsLost() throws Exception {
        Ways cut = fault(0, 1, false, Quality.CUT);
        byte[] much = new byte[8 << 20];
        try (Socket from = link(0, 1)) {
            Thread writer = new Thread(() -> {
                try {
                    from.getOutputStream().write(much);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            writer.start();
            writer.join(SILENCE_MS);
            assertTrue(writer.isAlive(), "what is held is bounded");
            over(cut);
            try (Socket to = servers.get(1).accept()) {
                to.setSoTimeout(LONG_MS);
                assertEquals(much.length, to.getInputStream().readNBytes(much.length).length);
            }
            writer.join();
        }
    }
}
