package ivybank.operator;

import ivybank.discovery.Timing;
import ivybank.peers.PeerSettings;
import ivybank.promises.PromiseSettings;
import ivybank.store.Limits;
import ivybank.toml.InputException;
import ivybank.toml.StrictTable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What operators set beside the platform's configuration, in TOML: all that is new goes here, and without the file all of it
 * is off or standard. Read once, at the start.
 */
public record OperatorFile(Timing discovery, StoreSettings store, PeerSettings peers) {

    /**
     * Where promises are kept, how large that may get, and how; null in its place: they are not. {@code firstStart}: a store may be
     * made where there is none.
     */
    public record StoreSettings(
            Path folder, Limits limits, boolean degrade, boolean firstStart, PromiseSettings promises) {}

    private static final int LEAST_MS = 50;
    private static final int MOST_MS = 600_000;
    private static final int LEAST_SEGMENTS = 8;

    /** The same, where the platform's settings are not known. */
    public static OperatorFile read(Path file) throws InputException {
        return read(file, Timing.standard(false, Timing.DEFAULT_DRAIN_GRACE_MS));
    }

    /**
     * Reads a file.
     *
     * @param standard how patient a sidecar is with discovery where the file does not say: by the platform's settings
     * @throws InputException in one line, with file, key and what is allowed
     */
    public static OperatorFile read(Path file, Timing standard) throws InputException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InputException(file + ": can't be read: " + e.getClass().getSimpleName());
        }
        StrictTable root = StrictTable.parse(file.toString(), text);
        StrictTable discovery = root.table("discovery");
        OperatorFile read = new OperatorFile(
                new Timing(
                        discovery.integer("silence_ms", LEAST_MS, MOST_MS, standard.silenceMs()),
                        discovery.integer("first_answer_ms", LEAST_MS, MOST_MS, standard.firstAnswerMs()),
                        discovery.integer("connect_ms", LEAST_MS, MOST_MS, standard.connectMs()),
                        discovery.number("longest_pause_ms", LEAST_MS, MOST_MS, standard.longestPauseMs()),
                        standard.asked()),
                store(root),
                peers(root));
        discovery.rejectUnknownKeys();
        root.rejectUnknownKeys();
        return read;
    }

    /** Null: this sidecar knows of no other. */
    private static PeerSettings peers(StrictTable root) throws InputException {
        if (!root.has("peers")) {
            return null;
        }
        StrictTable peers = root.table("peers");
        String zone = peers.text("zone", "-");
        if (!PeerSettings.isValidZone(zone)) {
            throw peers.error(
                    "zone",
                    "is \"" + zone + "\": up to " + PeerSettings.MAX_ZONE_LENGTH
                            + " letters, figures and signs without blanks are allowed");
        }
        String lives = peers.text("life_file", "-");
        PeerSettings read = new PeerSettings(
                Path.of(peers.text("key_file", null)),
                peers.text("fleet", "ivybank"),
                zone.equals("-") ? "" : zone,
                peers.has("listen") ? peers.text("listen", null) : "",
                peers.texts("addresses"),
                lives.equals("-") ? null : Path.of(lives));
        peers.rejectUnknownKeys();
        return read;
    }

    private static StoreSettings store(StrictTable root) throws InputException {
        if (!root.has("store")) {
            if (root.has("promises")) {
                throw root.error("promises", "needs a [store] to be kept in");
            }
            return null;
        }
        StrictTable store = root.table("store");
        StrictTable promises = root.table("promises");
        int segmentKb = store.integer("segment_kb", 64, 1 << 18, 1024);
        int diskMb = store.integer("disk_mb", 1, 1 << 20, 64);
        int valueKb = store.integer("value_kb", 1, 1 << 14, 64);
        if (diskMb * 1024L < (long) segmentKb * LEAST_SEGMENTS) {
            throw store.error(
                    "disk_mb",
                    "is " + diskMb + ": room for " + LEAST_SEGMENTS + " segments of segment_kb at least is needed");
        }
        if (valueKb * 2 > segmentKb) {
            throw store.error("value_kb", "is " + valueKb + ": half of segment_kb at most is allowed");
        }
        StoreSettings read = new StoreSettings(
                Path.of(store.text("folder", null)),
                new Limits(
                        diskMb * 1024L * 1024,
                        segmentKb * 1024,
                        valueKb * 1024,
                        1024 * store.integer("waiting_kb", 64, 1 << 18, 4096)),
                store.choice("damage", List.of("refuse", "go-on"), "refuse").equals("go-on"),
                store.choice("first_start", List.of("refuse", "make"), "refuse").equals("make"),
                new PromiseSettings(
                        promises.text("identity", "Idempotency-Key"),
                        1000 * promises.number("keep_s", 1, 1e8, 86_400),
                        promises.integer("most", 100, 10_000_000, 100_000),
                        promises.choice("when_failing", List.of("refuse", "let-through"), "refuse")
                                .equals("let-through")));
        store.rejectUnknownKeys();
        promises.rejectUnknownKeys();
        return read;
    }
}
