package ivybank.peers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import ivybank.common.Clock;
import ivybank.common.Json;
import ivybank.common.Log;
import ivybank.fleet.Change;
import ivybank.fleet.FleetCount;
import ivybank.fleet.FleetTiming;
import ivybank.fleet.FleetView;
import ivybank.fleet.Message;
import ivybank.fleet.MessageCodec;
import ivybank.fleet.Standing;
import ivybank.fleet.ViewSnapshot;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
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
        int seat = addresses.indexOf(listen);
        if (seat < 0) {
            throw new IOException("peers: " + listen + " is not among the " + addresses.size()
                    + " addresses of sidecars; each list names its own sidecar too");
        }
        if (!MessageCodec.carries(name, MessageCodec.LONGEST_NAME)) {
            throw new IOException("peers: the name \"" + name + "\" can't be told to others: up to "
                    + MessageCodec.LONGEST_NAME + " letters, figures and signs without blanks are allowed");
        }
        long life = LifeFile.next(settings.lives(), (long) clock.nowMs(), log::line);
        socket = new PeerSocket(
                loop,
                addresses,
                MessageCodec.fleet(settings.fleet()),
                PeerKeys.read(settings.keys(), MessageCodec.SIGNATURE),
                clock,
                log);
        view = new FleetView(
                seat,
                name,
                settings.zone(),
                life,
                addresses.size(),
                FleetTiming.STANDARD,
                new Random(seed),
                new FleetView.Out() {
                    @Override
                    public void send(int to, Message message) {
                        socket.send(to, message);
                    }

                    @Override
                    public void changed(Change change) {
                        PeerFleet.this.changed(change);
                    }
                });
        log.line(
                "peers: seat " + seat + " of " + addresses.size() + " in fleet " + settings.fleet() + ", life " + life);
    }

    /** Listens, and begins to look for others. Not called on the event loop. */
    public void open(boolean shared) throws IOException {
        socket.open(listen, shared, (seat, message) -> view.heard(clock.nowMs(), seat, message));
        loop.execute(() -> view.start(clock.nowMs()));
        long tickMs = (long) FleetTiming.STANDARD.tickMs();
        loop.scheduleWithFixedDelay(
                () -> {
                    double nowMs = clock.nowMs();
                    view.tick(nowMs);
                    if (nowMs >= countDueMs) {
                        countDueMs = nowMs + COUNT_EVERY_MS;
                        sidecars.accept(count.seen(nowMs, view.peers() + 1));
                    }
                },
                tickMs,
                tickMs,
                TimeUnit.MILLISECONDS);
    }

    private void changed(Change change) {
        // Doubts come and go; the door has them.
        if (!change.what().startsWith("is doubted")) {
            log.line("peers: " + (change.name().isEmpty() ? "" : change.name() + ", ") + "seat " + change.seat()
                    + ", life " + change.life() + " " + change.what());
        }
    }

    /** This sidecar serves now. */
    public void ready() {
        loop.execute(() -> view.stand(clock.nowMs(), Standing.READY));
    }

    /** This sidecar was told to end. On the event loop. */
    public void draining() {
        view.stand(clock.nowMs(), Standing.DRAINING);
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
        view.hush(clock.nowMs(), hushed);
    }

    /** Reads the keys again. Not called on the event loop. */
    public void reload() {
        try {
            PeerKeys keys = PeerKeys.read(settings.keys(), MessageCodec.SIGNATURE);
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
                .put("seat", now.seat())
                .put("life", now.life())
                .put("digest", digest(now.digest()))
                .put("settled_ms", Math.round(now.settledForMs()))
                .put("peers", now.peers())
                .put("seats", now.seats())
                .put("health", now.health());
        ArrayNode members = root.putArray("members");
        for (ViewSnapshot.Seen seen : now.members()) {
            ObjectNode each = members.addObject()
                    .put("seat", seen.seat())
                    .put("name", seen.name())
                    .put("life", seen.life())
                    .put("standing", seen.standing().name().toLowerCase(Locale.ROOT));
            if (!seen.zone().isEmpty()) {
                each.put("zone", seen.zone());
            }
            if (!seen.accusers().isEmpty()) {
                seen.accusers().forEach(each.putArray("doubted_by")::add);
            }
            if (!seen.heeded()) {
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
                .put("given_up", now.counts().givenUp())
                .put("returns", now.counts().returns())
                .put("dropped", socket.dropped());
        for (Map.Entry<PeerSocket.Refusal, Long> each : socket.refused().entrySet()) {
            counts.put(each.getKey().name().toLowerCase(Locale.ROOT), each.getValue());
        }
        return root.toString();
    }

    private static String digest(long digest) {
        return String.format(Locale.ROOT, "%016x", digest);
    }

    /** Its part of the line of counts of each second, from the event loop. */
    public String tally() {
        return " peers=" + view.peers() + " starting=" + view.starting() + " view=" + digest(view.digest());
    }

    /** Counts for a line of the log, from the event loop. */
    public String line() {
        ViewSnapshot now = view.snapshot(clock.nowMs());
        return "peers: " + now.peers() + " live, " + view.starting() + " starting, health " + now.health() + ", view "
                + digest(now.digest()) + " settled for " + Math.round(now.settledForMs()) + " ms; "
                + now.counts().sent() + " sent, " + now.counts().received() + " received, "
                + now.counts().givenUp() + " given up, "
                + now.counts().returns() + " returns so far";
    }
}
