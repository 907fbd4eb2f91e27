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
 * The log against a map in memory: what is written, lost with the power and recovered, in any order. A script that fails is
 * shrunk to a short one. {@code -Djqwik.tries.default=N} has no say: {@code -Dstore.rounds=N} plays N times as many seeds of
 * the cuts for each script.
 */
class ModelTest {

    private static final int ROUNDS = Integer.getInteger("store.rounds", 1);
    private static final Limits LIMITS = new Limits(1 << 20, 4096, 2048, 1 << 16);

    /** One step, by its kind and a number for what it needs. */
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
    void whatIsConfirmedIsThereAndNothingElse(@ForAll("scripts") List<Step> script) throws IOException {
        for (int round = 0; round < ROUNDS; round++) {
            play(script, round);
        }
    }

    private static void play(List<Step> script, int round) throws IOException {
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
                case 2 -> { // power cut in the middle of a write
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
                case 3 -> { // the disk fails
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
                case 4 -> { // it fails, and then the power goes
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
                case 8 -> { // an orderly end
                    log.close();
                    log = recover(disk, model, List.of());
                }
                default -> {
                    List<Mutation> batch = batch(step.number);
                    log.append(batch);
                    apply(model, batch);
                }
            }
            assertTrue(content(log).equals(model), () -> "after " + step);
        }
    }

    private static SegmentLog recover(PowerCutDisk disk, Map<String, String> model, List<Mutation> tried)
            throws IOException {
        SegmentLog log = Recovery.run(disk, LIMITS, false).log();
        Map<String, String> found = content(log);
        boolean known = found.equals(model);
        Map<String, String> more = new TreeMap<>(model);
        for (Mutation mutation : tried) {
            apply(more, List.of(mutation));
            known |= found.equals(more);
        }
        assertTrue(known, () -> "confirmed " + model + ", tried " + tried.size() + ", found " + found);
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

    private static Map<String, String> content(SegmentLog log) throws IOException {
        Map<String, String> all = new TreeMap<>();
        log.forEach((key, value) ->
                all.put(new String(key, StandardCharsets.UTF_8), new String(value, StandardCharsets.UTF_8)));
        return all;
    }
}
