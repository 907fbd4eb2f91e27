package ivybank.rehearsal.stand;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import ivybank.common.Json;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Discovery as one sidecar sees it: an agent on its machine that tells what it has been sent, answers at once and is silent
 * while discovery is down. It can move to another address; the old one takes nothing new then, and closes after a while.
 */
final class RosterServer {

    private static final String STREAM = "stream=1";
    private static final double BEAT_MS = 2000;
    private static final double OLD_CLOSES_MS = 1500;
    private static final int MOST_SNAPSHOTS = 64;
    /** After a move, of which the sidecar is told by a signal, what is told at the new address counts this much later. */
    private static final double MOVE_COUNTS_MS = 4000;
    /** By then a process has asked; one that has not counts as told. */
    private static final double LONGEST_START_MS = 8000;

    /** What is listed of a node. */
    record Entry(String host, String dial, String site, String kind, String health, double bornUnixMs) {

        private ObjectNode json() {
            return Json.MAPPER
                    .createObjectNode()
                    .put("host", host)
                    .put("dial", dial)
                    .put("site", site)
                    .put("class", kind)
                    .put("block", 0)
                    .put("health", health)
                    .put("share", 1.0)
                    .put("born_ms", bornUnixMs);
        }
    }

    private record Snapshot(double atMs, long seq, Map<String, Entry> list) {}

    private final World world;
    private final int sidecar;
    private final Map<String, Entry> list = new LinkedHashMap<>();
    private final List<Entry> gone = new ArrayList<>();
    private final Set<Channel> watches = new HashSet<>();
    private final Set<Channel> open = new HashSet<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    /** What waits until discovery says something again: the day's changes, and calls of one sidecar. */
    private final List<Runnable> whenBack = new ArrayList<>();
    /** What it shows while it is behind; null otherwise. */
    private Snapshot behind;

    private Channel listener;
    private long seq;
    private boolean silent;
    /** Whether the present process of the sidecar has not been answered yet: nobody could have told it anything. */
    private boolean unasked;

    private int processes;
    /** When it moved to where it is now, unless it was called there since. */
    private double movedMs = Double.NEGATIVE_INFINITY;
    /** Since when the open watches say nothing, or NaN. */
    private double hushedMs = Double.NaN;

    RosterServer(World world, int sidecar) {
        this.world = world;
        this.sidecar = sidecar;
        this.listener = listen();
        world.after(BEAT_MS, this::beat);
    }

    private Channel listen() {
        return Loopback.listen(
                world.acceptor,
                world.loop,
                world.net,
                200,
                1 + sidecar,
                channel -> channel.pipeline()
                        .addLast(new HttpRequestDecoder(), new HttpObjectAggregator(1024), new Caller()));
    }

    String address() {
        return Loopback.text(listener);
    }

    private void toWatches(String line) {
        watches.forEach(watch -> watch.writeAndFlush(Unpooled.copiedBuffer(chunk(line), StandardCharsets.UTF_8)));
    }

    private void beat() {
        if (!silent) {
            toWatches("\n");
        }
        world.after(BEAT_MS, this::beat);
    }

    /** A change has come to the agent. */
    void change(Entry entry) {
        change(List.of(entry));
    }

    /** Changes have come to the agent at once: it tells them in one line. */
    void change(List<Entry> entries) {
        if (silent) {
            whenBack.add(() -> change(entries)); // discovery is down: the changes come when it is back
            return;
        }
        snapshots.addLast(new Snapshot(world.nowMs(), seq, Map.copyOf(list)));
        if (snapshots.size() > MOST_SNAPSHOTS) {
            snapshots.removeFirst();
        }
        seq++;
        entries.forEach(this::enter);
        if (behind == null && !watches.isEmpty()) {
            ArrayNode changed = Json.MAPPER.createArrayNode();
            entries.forEach(entry -> changed.add(entry.json()));
            toWatches(list(false, changed) + "\n");
            entries.forEach(this::told);
        }
        world.after(untilToldMs(), () -> {
            if (!silent && behind == null) {
                entries.forEach(this::told);
            }
        });
    }

    /** How long from now until what it has counts as told, whether or not it is heard. */
    private double untilToldMs() {
        double toldMs = world.scenario.roster().toldMs();
        double silentMs = Double.isNaN(hushedMs) ? Double.NEGATIVE_INFINITY : hushedMs + toldMs - world.nowMs();
        if (!world.scenario.roster().atOnce()) {
            return Double.isNaN(hushedMs) ? toldMs : Math.max(0, silentMs);
        }
        return Math.max(0, Math.max(silentMs, movedMs + MOVE_COUNTS_MS - world.nowMs()));
    }

    /** A new process of the sidecar begins: what the agent has counts from its first moment. */
    void processStarted() {
        if (!world.scenario.roster().atOnce()) {
            return;
        }
        int process = ++processes;
        hushedMs = Double.NaN;
        unasked = true;
        world.after(LONGEST_START_MS, () -> {
            if (process == processes && unasked && !silent) { // it could have asked
                tellEverything();
            }
        });
    }

    /** The process has been answered, or should have been: what the agent has counts from now on. */
    private void tellEverything() {
        unasked = false;
        list.values().forEach(this::told);
        gone.forEach(this::told);
    }

    /** Resets open watches. */
    void resetWatches() {
        for (Channel watch : Set.copyOf(watches)) {
            watch.config().setOption(ChannelOption.SO_LINGER, 0);
            watch.close();
        }
    }

    private void enter(Entry entry) {
        if (entry.health().equals("Gone")) {
            list.remove(entry.host());
            gone.add(entry);
        } else {
            list.put(entry.host(), entry);
        }
    }

    /** What it has to say of this node counts as told from now on. */
    void told(Entry entry) {
        if (!entry.health().equals("Ready") && !unasked) {
            world.referee.told(sidecar, entry.host(), world.nowMs());
        }
    }

    /** Open watches fall silent: what they miss counts as told so long after that, not after the change. */
    void hush() {
        watches.clear();
        hushedMs = world.nowMs();
    }

    /** Sends what can't be read to those that watch. */
    void odd() {
        toWatches("{\"seq\": 7, \"hosts\": [{oops\n");
    }

    /** Shows the list as it was so long ago, and after as long a while the present one. */
    void fallBehind(double behindMs) {
        double asOfMs = world.nowMs() - behindMs;
        behind = snapshots.stream()
                .filter(each -> each.atMs() >= asOfMs)
                .findFirst()
                .orElse(null);
        world.after(behindMs, () -> {
            behind = null;
            toWatches(known() + "\n");
            tellAll();
        });
    }

    private void tellAll() {
        if (behind == null && !watches.isEmpty()) {
            list.values().forEach(this::told);
            gone.forEach(this::told);
        }
    }

    void silent(boolean on) {
        silent = on;
        if (!on) {
            List<Runnable> waiting = List.copyOf(whenBack);
            whenBack.clear();
            waiting.forEach(Runnable::run);
        }
    }

    /** Goes on at another port, of which the sidecar learns by its configuration. */
    void move() {
        movedMs = world.nowMs();
        Channel old = listener;
        Set<Channel> calls = Set.copyOf(open);
        listener = listen();
        old.close();
        world.after(OLD_CLOSES_MS, () -> calls.forEach(Channel::close));
    }

    /** The list as it is, in the protocol's form. */
    ObjectNode known() {
        return list(true, entries());
    }

    private long shownSeq() {
        return behind == null ? seq : behind.seq();
    }

    private ArrayNode entries() {
        ArrayNode entries = Json.MAPPER.createArrayNode();
        (behind == null ? list : behind.list()).values().forEach(entry -> entries.add(entry.json()));
        return entries;
    }

    private ObjectNode list(boolean whole, ArrayNode entries) {
        ObjectNode root = Json.MAPPER.createObjectNode().put("seq", shownSeq()).put("whole", whole);
        root.set("hosts", entries);
        return root;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    private final class Caller extends ChannelInboundHandlerAdapter {

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.add(ctx.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (message instanceof FullHttpRequest request) {
                    answer(ctx, request.uri());
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void answer(ChannelHandlerContext ctx, String uri) {
            world.returns.called(sidecar, world.nowMs());
            if (silent) {
                whenBack.add(() -> answer(ctx, uri));
                return;
            }
            if (unasked) {
                tellEverything();
            }
            if (uri.contains(STREAM)) {
                boolean unknown = !uri.endsWith("index=" + shownSeq());
                ctx.writeAndFlush(Unpooled.copiedBuffer(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + chunk(unknown ? known() + "\n" : "\n"),
                        StandardCharsets.UTF_8));
                watches.add(ctx.channel());
                hushedMs = Double.NaN;
                movedMs = Double.NEGATIVE_INFINITY;
                tellAll(); // at the latest now
            } else {
                String body = known().toString();
                ctx.writeAndFlush(Unpooled.copiedBuffer(
                        "HTTP/1.1 200 OK\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length
                                + "\r\n\r\n" + body,
                        StandardCharsets.UTF_8));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(ctx.channel());
            watches.remove(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
