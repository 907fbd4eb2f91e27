package ivybank.rehearsal.stand;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.Addresses;
import ivybank.common.FleetViewClient;
import ivybank.common.Json;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.scenario.Scenario.RequestClass;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * One real sidecar: a process with a configuration, an address and a log of its own. A second, tiny process ends it if the
 * kit itself is gone: it waits for the end of a pipe that only the kit holds open. It heeds no signal that a terminal or a shell sends
 * to all of a group: the kit ends by those, and a sidecar takes SIGHUP for a call to read its configuration again.
 */
public final class SidecarProcess {

    private static final int POLL_MS = 20;
    private static final int HTTP_OK = 200;
    private static final int DOOR_MS = 400;

    private final Scenario scenario;
    private final int number;
    private final String command;
    private final Path folder; // of the command
    private final Path state; // configuration and log
    private final InetSocketAddress listen;
    private final SplittableRandom seeds;
    private CoreWaits coreWaits;
    private long watched;
    private volatile Process process;
    private Process guard;
    private PeerPlace place; // null: it knows of no other
    private volatile boolean expected; // to end

    SidecarProcess(
            Scenario scenario,
            int number,
            String command,
            Path folder,
            Path state,
            InetSocketAddress listen,
            long seed) {
        this.scenario = scenario;
        this.number = number;
        this.command = command;
        this.folder = folder;
        this.state = state;
        this.listen = listen;
        this.seeds = new SplittableRandom(seed);
    }

    InetSocketAddress listen() {
        return listen;
    }

    /** What it knows of the others: where it listens for them, their addresses, and the door where it can be asked. */
    record PeerPlace(String listen, List<String> addresses, InetSocketAddress door, Path keys) {}

    /** Puts it among others, from the next configuration on. */
    void among(PeerPlace peers) throws IOException {
        place = peers;
        Files.writeString(
                state.resolve("operator.toml"),
                "[peers]\nkey_file = \"" + peers.keys() + "\"\nfleet = \"rehearsal\"\n");
    }

    /** The view of its fleet, as its door tells it; null where it does not. */
    JsonNode view() {
        return FleetViewClient.fetch("http://" + Addresses.text(place.door()), DOOR_MS);
    }

    /** Replaces the configuration as one step. */
    void configure(String discovery, ObjectNode known) throws IOException {
        ObjectNode root = Json.MAPPER
                .createObjectNode()
                .put("name", "n" + number)
                .put("listen", Addresses.text(listen))
                .put("discovery", discovery)
                .put("seed", Long.toHexString(seeds.nextLong()));
        root.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", scenario.limits().memoryMb())
                .put("sockets", scenario.limits().sockets());
        if (place != null) {
            root.put("peer_listen", place.listen()).put("control", Addresses.text(place.door()));
            ArrayNode peers = root.putArray("peers");
            place.addresses().forEach(peers::add);
        }
        root.set("known", known);
        root.set("settings", settings());
        Path file = state.resolve("config.json.new");
        Files.writeString(file, root.toString());
        Files.move(
                file,
                state.resolve("config.json"),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    private ObjectNode settings() {
        ObjectNode settings = Json.MAPPER
                .createObjectNode()
                .put("instances", scenario.traffic().sidecars())
                .put("tickMs", 1.0)
                .put("membershipMode", scenario.roster().asked() ? "ask" : "push");
        ArrayNode sites = settings.putArray("failureDomains");
        for (int i = 0; i < scenario.fleet().sites(); i++) {
            sites.add("site-" + i);
        }
        ArrayNode kinds = settings.putArray("kinds");
        scenario.kinds().forEach(kind -> kinds.add(kind.name()));
        ArrayNode lanes = settings.putArray("lanes");
        for (RequestClass spec : scenario.classes()) {
            lanes.addObject()
                    .put("name", spec.name())
                    .put("aimMs", spec.aimMs())
                    .put("hardLimitMs", spec.deadlineMs())
                    .put("worth", spec.worth())
                    .put("group", spec.bySite() ? "zone" : "all")
                    .put("windowMs", spec.windowMs())
                    .put(
                            "idempotency",
                            switch (spec.effect()) {
                                case SAFE -> "retryable";
                                case KEYED -> "dedup";
                                case UNSAFE -> "fragile";
                            });
        }
        settings.putObject("limits")
                .put("maxAttempts", scenario.limits().attempts())
                .put("cancel", true)
                .put("secondCopies", true)
                .put("retryAfter", true)
                .put("maxRetryAfterMs", 2000.0)
                .put("connectTimeoutMs", 250.0)
                .put("connIdleMs", 15_000.0);
        Scenario.Cold cold = scenario.cold();
        settings.putObject("contract")
                .put("coldFrom", cold.from())
                .put("coldMs", cold.warmS() * 1000)
                .put("overloadFactor", cold.fallMultiple())
                .put("fallMs", cold.fallS() * 1000)
                .put("askEveryMs", 10_000.0);
        settings.putObject("report")
                .put("via", "inline")
                .putArray("fields")
                .add("qps")
                .add("util")
                .add("eps");
        return settings;
    }

    /** Starts it with the descriptors that it may have and no more; what it prints goes to its log. */
    void start() throws IOException {
        process = launch(
                "ulimit -n " + scenario.limits().sockets() + " && " + command,
                ProcessBuilder.Redirect.appendTo(state.resolve("sidecar.log").toFile()));
        expected = false; // not before: the end of the process before it was
        guard = new ProcessBuilder("/bin/sh", "-c", "trap '' HUP INT TERM; read line; kill -9 " + process.pid())
                .start();
    }

    /** Starts a second one with the same configuration beside it; the caller ends it. */
    Process startTwin() throws IOException {
        return launch(
                command, ProcessBuilder.Redirect.to(state.resolve("twin.log").toFile()));
    }

    private Process launch(String line, ProcessBuilder.Redirect log) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", line)
                .directory(folder.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log);
        builder.environment().put("EDGE_CONFIG", state.resolve("config.json").toString());
        if (place != null) {
            builder.environment()
                    .put("EDGE_OPERATOR", state.resolve("operator.toml").toString());
        }
        Process launched = builder.start();
        launched.getOutputStream().close();
        return launched;
    }

    /** Waits until it answers that it is ready; false if it has ended or is not within the time. */
    boolean awaitReady(long longestMs) throws IOException, InterruptedException {
        long until = System.nanoTime() + longestMs * 1_000_000;
        while (process.isAlive() && System.nanoTime() < until) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(POLL_MS);
        }
        return false;
    }

    private boolean isReady() {
        try {
            HttpURLConnection call =
                    (HttpURLConnection) URI.create("http://" + Addresses.text(listen) + "/health/ready")
                            .toURL()
                            .openConnection();
            call.setConnectTimeout(1000);
            call.setReadTimeout(1000);
            boolean ready = call.getResponseCode() == HTTP_OK;
            call.disconnect();
            return ready;
        } catch (IOException e) {
            return false; // nobody listens yet
        }
    }

    /** Sends it a signal by its name, and waits until that is sent. Not on the event loop. */
    void signal(String name) throws IOException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                    .start()
                    .onExit()
                    .join();
        }
    }

    /** Has it do a full garbage collection, by the JDK's own tool, and waits until that is over. */
    void collectGarbage() throws IOException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process asked = new ProcessBuilder(jcmd, String.valueOf(process.pid()), "GC.run")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        int exitCode = asked.onExit().join().exitValue();
        if (exitCode != 0) {
            throw new IOException(jcmd + " ended with " + exitCode);
        }
    }

    /** From now on its end is no crash. */
    void expectEnd() {
        expected = true;
    }

    /** Whether it was told to end, or is just being ended. */
    boolean isExpectedToEnd() {
        return expected;
    }

    /** Kills it, if it still runs, and waits until it is gone. */
    void kill() {
        expected = true;
        if (process != null) {
            process.destroyForcibly().onExit().join();
            guard.destroyForcibly();
        }
    }

    /** Kills it as a machine does that has no more memory for it: nobody has asked for its end. */
    void killForMemory() {
        process.destroyForcibly();
    }

    boolean started() {
        return process != null;
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Whether it has ended although nobody has ended it. */
    boolean crashed() {
        return !expected && !process.isAlive();
    }

    int exitCode() {
        return process.isAlive() ? 0 : process.exitValue();
    }

    /** Resident memory in MB, open descriptors and CPU seconds; null where the system does not tell or it has ended. */
    double[] usage() {
        Path proc = Path.of("/proc", String.valueOf(process.pid()));
        try (var descriptors = Files.list(proc.resolve("fd"))) {
            double rssMb = 0;
            for (String line : Files.readAllLines(proc.resolve("status"))) {
                if (line.startsWith("VmRSS:")) {
                    rssMb = Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
            String stat = Files.readString(proc.resolve("stat"), StandardCharsets.US_ASCII);
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return new double[] {
                rssMb, descriptors.count(), (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0
            };
        } catch (IOException | NumberFormatException e) {
            return null;
        }
    }

    /** The longest that one of its event loops has waited for a core since this was last asked, in ms; 0 where the system does not tell. */
    double starvedMs() {
        if (process.pid() != watched) {
            watched = process.pid();
            coreWaits = new CoreWaits(watched);
        }
        return coreWaits.longestMs();
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "sidecar %d at %s", number, listen);
    }
}
