package ivybank.rehearsal.stand;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.common.FleetViewClient;
import ivybank.rehearsal.referee.Views;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.scenario.Scenario.Ways;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The network between the sidecars, its faults, and the watch over what each sidecar sees of the others. Does nothing
 * in a scenario whose sidecars know of no others.
 */
final class PeerViews {

    private static final long LOOK_EVERY_MS = 100;
    private static final String KEY = "6b6579206f66207468652072656865617273616c20666c656574\n";
    private static final int COUNTS = 4;

    private final RunContext run;
    private final List<SidecarProcess> sidecars;
    private final Views views; // null: sidecars know of no others
    private final WayFaults wayFaults;
    private PeerRelay relay;

    PeerViews(RunContext run, List<SidecarProcess> sidecars) {
        this.run = run;
        this.sidecars = sidecars;
        int count = run.scenario.traffic().sidecars();
        Scenario.Peers peers = run.scenario.peers();
        views = peers.on() ? new Views(count, peers.knowS() * 1000, peers.settleS() * 1000) : null;
        wayFaults = new WayFaults(count);
    }

    boolean on() {
        return views != null;
    }

    /** What was seen; null where sidecars know of no others. */
    Views views() {
        return views;
    }

    /** Gives each sidecar an address for each of the others, all by way of the relay, and some that nobody ever has. */
    void place(Path folder) throws IOException {
        Path keys = Files.writeString(folder.resolve("fleet.key"), KEY).toAbsolutePath();
        List<InetSocketAddress> real = new ArrayList<>();
        for (int i = 0; i < sidecars.size(); i++) {
            real.add(Loopback.forPeers(run.world.net, i));
        }
        relay = new PeerRelay(run.world, real, wayFaults, run.plan.seed());
        for (int i = 0; i < sidecars.size(); i++) {
            List<String> addresses = new ArrayList<>();
            for (int other = 0; other < sidecars.size(); other++) {
                addresses.add(relay.address(other, i));
            }
            for (int never = 0; never < run.scenario.peers().never(); never++) {
                addresses.add("127." + run.world.net + ".219." + (1 + never) + ":7946");
            }
            InetSocketAddress door = Loopback.forDoor(run.world.net, i);
            sidecars.get(i).among(new SidecarProcess.PeerPlace(addresses.get(i), addresses, door, keys));
        }
    }

    /** Looks at each view again and again, each sidecar by a thread of its own, until the run ends. */
    void watch(BooleanSupplier ended) {
        for (int i = 0; i < sidecars.size(); i++) {
            int number = i;
            run.workers.execute(() -> watch(number, ended));
        }
    }

    private void watch(int number, BooleanSupplier ended) {
        while (!ended.getAsBoolean()) {
            JsonNode view = sidecars.get(number).view();
            if (view != null) {
                run.loop.execute(() -> views.looked(look(number, view)));
            }
            try {
                Thread.sleep(LOOK_EVERY_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Views.Look look(int by, JsonNode view) {
        Map<Integer, Long> living = new HashMap<>();
        Map<Integer, Long> ended = new HashMap<>();
        for (JsonNode member : view.path("members")) {
            (FleetViewClient.isAlive(member) ? living : ended)
                    .put(member.path("seat").asInt(), member.path("life").asLong());
        }
        return new Views.Look(run.world.nowMs(), by, view.path("digest").asText(), living, ended);
    }

    /** Notes what a sidecar's process is from now on. */
    void process(int sidecar, Views.Process now, String what) {
        process(sidecar, now, run.world.nowMs(), what);
    }

    /** Notes what a sidecar's process is from a time on. */
    void process(int sidecar, Views.Process now, double atMs, String what) {
        if (views != null) {
            views.process(sidecar, now, atMs, what);
        }
    }

    /** Begins or ends a fault of ways between sidecars. */
    void fault(Ways ways, boolean on, String what) {
        wayFaults.set(ways, on);
        boolean[][] open = new boolean[sidecars.size()][sidecars.size()];
        for (int a = 0; a < open.length; a++) {
            for (int b = 0; b < open.length; b++) {
                open[a][b] = a == b || wayFaults.open(a, b);
            }
        }
        views.ways(open, run.world.nowMs(), what);
    }

    /** Judges what is still open at the end of the run. */
    void end() {
        if (views != null) {
            views.end(run.world.nowMs());
        }
    }

    /** Datagrams between sidecars: how many came, their bytes, how many did not come, and forgeries. */
    long[] datagramCounts() {
        return relay == null ? new long[COUNTS] : relay.counts();
    }

    void close() {
        if (relay != null) {
            relay.close();
        }
    }
}
