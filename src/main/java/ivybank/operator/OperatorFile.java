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
 * The settings that operators add to the platform's configuration, in TOML. New features are configured here; without
 * the file they are off or at their defaults. Read once, at startup.
 */
public record OperatorFile(Timing discovery, StoreSettings store, PeerSettings peers) {

    /**
     * Settings of the store that keeps promises; null in place of this record disables it. {@code firstStart} allows a
     * store to be created where none exists.
     */
    public record StoreSettings(
            Path folder, Limits limits, boolean degrade, boolean firstStart, PromiseSettings promises) {

        /** Returns the same settings with another maximum number of identities. */
        public StoreSettings withMost(int most) {
            return new StoreSettings(folder, limits, degrade, firstStart, promises.withMost(most));
        }
    }

    private static final int MIN_DURATION_MS = 50;
    private static final int MAX_DURATION_MS = 600_000;
    private static final int MIN_SEGMENTS = 8;

    /** Reads a file with the default settings of the platform. */
    public static OperatorFile read(Path file) throws InputException {
        return read(file, Timing.standard(false, Timing.DEFAULT_DRAIN_GRACE_MS));
    }

    /**
     * Reads a file.
     *
     * @param standard the discovery timing for keys that the file does not set, derived from the platform's settings
     * @throws InputException if the file is unusable; the message is one line with the file, the key and what is
     * allowed
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
                        discovery.integer("silence_ms", MIN_DURATION_MS, MAX_DURATION_MS, standard.silenceMs()),
                        discovery.integer(
                                "first_answer_ms", MIN_DURATION_MS, MAX_DURATION_MS, standard.firstAnswerMs()),
                        discovery.integer("connect_ms", MIN_DURATION_MS, MAX_DURATION_MS, standard.connectMs()),
                        discovery.number(
                                "longest_pause_ms", MIN_DURATION_MS, MAX_DURATION_MS, standard.longestPauseMs()),
                        standard.asked()),
                store(root),
                peers(root));
        discovery.rejectUnknownKeys();
        root.rejectUnknownKeys();
        return read;
    }

    /** Returns the settings of the peers, or null where the file has none: the sidecar then knows no other sidecar. */
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
                            + " letters, digits and symbols without spaces are allowed");
        }
        String incarnationFile = peers.text("life_file", "-");
        PeerSettings read = new PeerSettings(
                Path.of(peers.text("key_file", null)),
                peers.text("fleet", "ivybank"),
                zone.equals("-") ? "" : zone,
                peers.has("listen") ? peers.text("listen", null) : "",
                peers.texts("addresses"),
                incarnationFile.equals("-") ? null : Path.of(incarnationFile));
        peers.rejectUnknownKeys();
        return read;
    }

    /** Returns the settings of the store, or null where the file has none: no promises are kept then. */
    private static StoreSettings store(StrictTable root) throws InputException {
        if (!root.has("store")) {
            if (root.has("promises")) {
                throw root.error("promises", "needs a [store] section that keeps the promises");
            }
            return null;
        }
        StrictTable store = root.table("store");
        StrictTable promises = root.table("promises");
        int segmentKb = store.integer("segment_kb", 64, 1 << 18, 1024);
        int diskMb = store.integer("disk_mb", 1, 1 << 20, 64);
        int valueKb = store.integer("value_kb", 1, 1 << 14, 64);
        if (diskMb * 1024L < (long) segmentKb * MIN_SEGMENTS) {
            throw store.error(
                    "disk_mb", "is " + diskMb + ": at least " + MIN_SEGMENTS + " segments of segment_kb must fit");
        }
        if (valueKb * 2 > segmentKb) {
            throw store.error("value_kb", "is " + valueKb + ": at most half of segment_kb is allowed");
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
