package ivybank.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Compares the log with a map in memory over generated scripts of writes, failures, power cuts and recoveries. A
 * failing script is shrunk to a short one. The number of scripts is fixed, so that {@code -Djqwik.tries.default} has
 * no effect; {@code -Dstore.rounds=N} runs each script with N seeds for the power cuts.
 */
class ModelTest {

    private static final int ROUNDS = Integer.getInteger("store.rounds", 1);
    private static final Limits LIMITS = new Limits(1 << 20, 4096, 2048, 1 << 16);

    /** A step of a script: its kind, and a number from which its parameters are derived. */
    record Step(int kind, int number) {}

    @Provide
    Arbitrary<List<Step>> scripts() {
        return Arbitraries.integers()
                .between(0, 19)
                .flatMap(kind -> Arbitraries.integers().between(0, 10_000).map(number -> new Step(kind, number)))
                .list()
                .ofMinSize(1)
                .ofMaxSize(260);
    }

    @Property(tries = 900, seed = "20261201", edgeCases = net.jqwik.api.EdgeCasesMode.NONE)
    void logHoldsExactlyTheConfirmedChanges(@ForAll("scripts") List<Step> script) throws IOException {
        for (int round = 0; round < ROUNDS; round++) {
            runScript(script, round);
        }
    }

    private static void runScript(List<Step> script, int round) throws IOException {
        SplittableRandom random = new SplittableRandom(round);
        PowerCutDisk disk = new PowerCutDisk();
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        Map<String, String> model = new TreeMap<>();
        for (Step step : script) {
            switch (step.kind) {
                case 0, 1 -> { // power cut
                    disk = disk.cut(random);
                    log = recover(disk, model, List.of());
                }
                case 2 -> { // power cut during a write
                    List<Mutation> batch = batch(step.number);
                    disk.cutAfter(step.number % 5);
                    boolean written = false;
                    try {
                        log.append(batch);
                        written = true;
                    } catch (PowerCutDisk.PowerCut e) {
                        disk = disk.cut(random);
                    }
                    disk.cutAfter(-1);
                    if (written) {
                        apply(model, batch);
                    } else {
                        log = recover(disk, model, batch);
                    }
                }
                case 3 -> { // forces fail
                    disk.failForces(1 + step.number % 3);
                    List<Mutation> batch = batch(step.number);
                    try {
                        log.append(batch);
                        apply(model, batch);
                    } catch (IOException e) {
                        assertTrue(e.getMessage().contains("failed"));
                    }
                    disk.failForces(0);
                }
                case 4 -> { // a force fails during a compaction, then the power is cut
                    disk.failForces(1);
                    try {
                        log.compact(1);
                    } catch (IOException e) {
                        assertTrue(e.getMessage().contains("failed"));
                    }
                    disk.failForces(0);
                    disk = disk.cut(random);
                    log = recover(disk, model, List.of());
                }
                case 5, 6, 7 -> log.compact(1);
                case 8 -> { // orderly close
                    log.close();
                    log = recover(disk, model, List.of());
                }
                default -> {
                    List<Mutation> batch = batch(step.number);
                    log.append(batch);
                    apply(model, batch);
                }
            }
            assertTrue(contentOf(log).equals(model), () -> "after " + step);
        }
    }

    private static SegmentLog recover(PowerCutDisk disk, Map<String, String> model, List<Mutation> attempted)
            throws IOException {
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        Map<String, String> found = contentOf(log);
        boolean matches = found.equals(model);
        Map<String, String> expected = new TreeMap<>(model);
        for (Mutation mutation : attempted) {
            apply(expected, List.of(mutation));
            matches |= found.equals(expected);
        }
        assertTrue(matches, () -> "confirmed " + model + ", attempted " + attempted.size() + ", found " + found);
        model.clear();
        model.putAll(found);
        return log;
    }

    private static List<Mutation> batch(int number) {
        List<Mutation> batch = new ArrayList<>();
        for (int i = 0; i <= number % 3; i++) {
            byte[] key = ("k" + (number + i * 7) % 23).getBytes(StandardCharsets.UTF_8);
            batch.add(new Mutation(
                    new Key(key),
                    number % 5 == 0 ? null : (number + "y".repeat(number % 600)).getBytes(StandardCharsets.UTF_8)));
        }
        return batch;
    }

    private static void apply(Map<String, String> model, List<Mutation> batch) {
        for (Mutation mutation : batch) {
            String key = new String(mutation.key().bytes(), StandardCharsets.UTF_8);
            if (mutation.isDeletion()) {
                model.remove(key);
            } else {
                model.put(key, new String(mutation.valueBytes(), StandardCharsets.UTF_8));
            }
        }
    }

    private static Map<String, String> contentOf(SegmentLog log) throws IOException {
        Map<String, String> content = new TreeMap<>();
        log.forEach((key, value) ->
                content.put(new String(key, StandardCharsets.UTF_8), new String(value, StandardCharsets.UTF_8)));
        return content;
    }
}
