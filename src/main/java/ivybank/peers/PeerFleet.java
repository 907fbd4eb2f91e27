package ivybank.peers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import ivybank.common.Clock;
import ivybank.common.Json;
import ivybank.common.Log;
import ivybank.fleet.FleetCount;
import ivybank.fleet.FleetTiming;
import ivybank.fleet.FleetView;
import ivybank.fleet.MemberState;
import ivybank.fleet.MembershipEvent;
import ivybank.fleet.Message;
import ivybank.fleet.MessageCodec;
import ivybank.fleet.ViewSnapshot;
import ivybank.supervision.PeriodicTask;
import ivybank.supervision.SupervisedTask;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.IntConsumer;

/** A sidecar among the others: its view on its event loop, its socket, and what it tells of both. */
public final class PeerFleet {

    private static final double COUNT_EVERY_MS = 500;

    private final PeerSettings settings;
    private final EventLoop loop;
    private final Clock clock;
    private final Log log;
    private final PeerSocket socket;
    private final FleetView view;
    private final InetSocketAddress listen;
    private final IntConsumer sidecars;
    private final FleetCount count;
    private double countDueMs;
    private boolean hush;

    /**
     * @param addresses of all sidecars, with this one's own
     * @param told how many sidecars there are by the settings
     * @param sidecars told on the event loop, again and again, how many are to be reckoned with
     * @throws IOException in one line
     */
    public PeerFleet(
            PeerSettings settings,
            String name,
            InetSocketAddress listen,
            List<InetSocketAddress> addresses,
            long seed,
            int told,
            EventLoop loop,
            Clock clock,
            Log log,
            IntConsumer sidecars)
            throws IOException {
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listen = listen;
        this.sidecars = sidecars;
        this.count = new FleetCount(told, FleetTiming.STANDARD.holdMs());
        int memberIndex = addresses.indexOf(listen);
        if (memberIndex < 0) {
            throw new IOException("peers: " + listen + " is not among the " + addresses.size()
                    + " addresses of sidecars; each list names its own sidecar too");
        }
        if (!MessageCodec.isPrintable(name, MessageCodec.MAX_NAME_LENGTH)) {
            throw new IOException("peers: the name \"" + name + "\" can't be told to others: up to "
                    + MessageCodec.MAX_NAME_LENGTH + " letters, figures and signs without blanks are allowed");
        }
        long incarnation = IncarnationFile.next(settings.incarnationFile(), (long) clock.nowMs(), log::line);
        socket = new PeerSocket(
                loop,
                addresses,
                MessageCodec.fleetHash(settings.fleet()),
                PeerKeys.read(settings.keys(), MessageCodec.SIGNATURE_BYTES),
                clock,
                log);
        view = new FleetView(
                memberIndex,
                name,
                settings.zone(),
                incarnation,
                addresses.size(),
                FleetTiming.STANDARD,
                new Random(seed),
                new FleetView.Output() {
                    @Override
                    public void send(int to, Message message) {
                        socket.send(to, message);
                    }

                    @Override
                    public void changed(MembershipEvent event) {
                        PeerFleet.this.changed(event);
                    }
                });
        log.line("peers: seat " + memberIndex + " of " + addresses.size() + " in fleet " + settings.fleet() + ", life "
                + incarnation);
    }

    /** Listens, and begins to look for others; returns what does so. Not called on the event loop. */
    public SupervisedTask open(boolean shared) throws IOException {
        socket.open(listen, shared, (memberIndex, message) -> view.receive(clock.nowMs(), memberIndex, message));
        loop.execute(() -> view.start(clock.nowMs()));
        long tickMs = (long) FleetTiming.STANDARD.tickMs();
        return PeriodicTask.start("tick of the peers", loop, clock, log, tickMs, this::tick);
    }

    private void tick() {
        double nowMs = clock.nowMs();
        socket.reopenIfEnded(nowMs);
        view.tick(nowMs);
        if (nowMs >= countDueMs) {
            countDueMs = nowMs + COUNT_EVERY_MS;
            sidecars.accept(count.seen(nowMs, view.aliveOthers() + 1));
        }
    }

    private void changed(MembershipEvent event) {
        // Doubts come and go; the door has them.
        if (event.kind() != MembershipEvent.Kind.SUSPECTED) {
            log.line("peers: " + (event.name().isEmpty() ? "" : event.name() + ", ") + "seat " + event.memberIndex()
                    + ", life " + event.incarnation() + " " + event.description());
        }
    }

    /** This sidecar serves now. */
    public void ready() {
        loop.execute(() -> view.announceState(clock.nowMs(), MemberState.READY));
    }

    /** This sidecar was told to end. On the event loop. */
    public void draining() {
        view.announceState(clock.nowMs(), MemberState.DRAINING);
    }

    /** This sidecar ends now: the others are told. On the event loop. */
    public void leave() {
        if (!hush) { // or the process that speaks for the sidecar would be taken for ended
            view.leave(clock.nowMs());
        }
    }

    /** Another process of this sidecar speaks for it from now on, or no longer does. On the event loop. */
    public void hush(boolean hushed) {
        if (hushed == hush) {
            return;
        }
        hush = hushed;
        log.line(
                hushed
                        ? "peers: another process of this sidecar speaks for it"
                        : "peers: this process speaks for the sidecar again");
        view.setStandby(clock.nowMs(), hushed);
    }

    /** Reads the keys again. Not called on the event loop. */
    public void reload() {
        try {
            PeerKeys keys = PeerKeys.read(settings.keys(), MessageCodec.SIGNATURE_BYTES);
            loop.execute(() -> {
                socket.keys(keys);
                log.line("peers: keys read again, " + keys.count());
            });
        } catch (IOException e) {
            log.line("peers: going on with the keys of before: " + e.getMessage());
        }
    }

    /** The view, for operators. */
    public CompletionStage<String> asked() {
        return CompletableFuture.supplyAsync(this::json, loop);
    }

    private String json() {
        ViewSnapshot now = view.snapshot(clock.nowMs());
        ObjectNode root = Json.MAPPER
                .createObjectNode()
                .put("seat", now.memberIndex())
                .put("life", now.incarnation())
                .put("digest", digest(now.digest()))
                .put("settled_ms", Math.round(now.settledForMs()))
                .put("peers", now.aliveOthers())
                .put("seats", now.addressCount())
                .put("health", now.health());
        ArrayNode members = root.putArray("members");
        for (ViewSnapshot.MemberSnapshot seen : now.members()) {
            ObjectNode each = members.addObject()
                    .put("seat", seen.memberIndex())
                    .put("name", seen.name())
                    .put("life", seen.incarnation())
                    .put("standing", wireName(seen.state()));
            if (!seen.zone().isEmpty()) {
                each.put("zone", seen.zone());
            }
            if (!seen.accusers().isEmpty()) {
                seen.accusers().forEach(each.putArray("doubted_by")::add);
            }
            if (!seen.trusted()) {
                each.put("heeded", false);
            }
        }
        ObjectNode counts = root.putObject("counts")
                .put("sent", now.counts().sent())
                .put("sent_bytes", socket.sentBytes())
                .put("received", now.counts().received())
                .put("replayed", now.counts().replayed())
                .put("stale", now.counts().stale())
                .put("unknown", now.counts().unknown())
                .put("forged", now.counts().forged())
                .put("given_up", now.counts().declaredDead())
                .put("returns", now.counts().rejoins())
                .put("dropped", socket.dropped());
        for (Map.Entry<PeerSocket.Refusal, Long> each : socket.refused().entrySet()) {
            counts.put(each.getKey().name().toLowerCase(Locale.ROOT), each.getValue());
        }
        return root.toString();
    }

    /** The name of a state at the operators' door; a dead member is called gone there. */
    private static String wireName(MemberState state) {
        return state == MemberState.DEAD ? "gone" : state.name().toLowerCase(Locale.ROOT);
    }

    private static String digest(long digest) {
        return String.format(Locale.ROOT, "%016x", digest);
    }

    /** Its part of the line of counts of each second, from the event loop. */
    public String tally() {
        return " peers=" + view.aliveOthers() + " starting=" + view.joiningMembers() + " view=" + digest(view.digest());
    }

    /** Counts for a line of the log, from the event loop. */
    public String line() {
        ViewSnapshot now = view.snapshot(clock.nowMs());
        return "peers: " + now.aliveOthers() + " live, " + view.joiningMembers() + " starting, health " + now.health()
                + ", view "
                + digest(now.digest()) + " settled for " + Math.round(now.settledForMs()) + " ms; "
                + now.counts().sent() + " sent, " + now.counts().received() + " received, "
                + now.counts().declaredDead() + " given up, "
                + now.counts().rejoins() + " returns so far";
    }
}
