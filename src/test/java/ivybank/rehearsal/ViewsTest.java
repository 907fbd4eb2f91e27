package ivybank.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.rehearsal.referee.Views;
import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.scenario.ScenarioReader;
import ivybank.rehearsal.scenario.ScenarioWriter;
import ivybank.rehearsal.scenario.Storm;
import ivybank.rehearsal.stand.ScenarioRun;
import ivybank.testing.ShortNight;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** What sidecars see of one another: real processes with faults between them, and the kit's own judgement of it. */
@Timeout(120)
class ViewsTest {

    private static final String FIVE = ShortNight.TOML.replace("rate = 50\nsidecars = 1", "rate = 60\nsidecars = 5")
            + "[peers]\non = true\nnever = 2\n";

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path dir;

    @Test
    void fiveProcessesJoinAreCutApartStandStillAreLostAndStartedTwiceAndSeeTheTruth() throws Exception {
        String toml = FIVE.replace("length_s = 2", "length_s = 30") + """
                [[fault]]
                kind = "join"
                at_s = 0.5
                members = [4]
                [[fault]]
                kind = "twice"
                at_s = 2.5
                for_s = 5
                members = [0]
                [[fault]]
                kind = "partition"
                at_s = 5.5
                for_s = 8
                members = [0, 1]
                [[fault]]
                kind = "freeze"
                at_s = 18
                for_s = 4.5
                members = [2]
                [[fault]]
                kind = "lose"
                at_s = 24
                members = [3]
                """;
        ScenarioRun.Result day;
        try (ScenarioRun played = new ScenarioRun(
                Plan.draw(ScenarioReader.read("views", toml), 1),
                ShortNight.program("-Xmx48m") + "serve",
                Path.of("").toAbsolutePath(),
                dir,
                line -> {})) {
            day = played.run();
        }
        assertEquals(
                List.of(),
                Verdict.of(day).reasons(),
                () -> day.events() + "\n" + day.views().epochs());
        assertEquals(0, day.views().falseAccusations());
        assertTrue(day.views().looks() > 400, day.views().looks() + " looks");
        List<String> settled = day.views().epochs().stream()
                .filter(each -> each.settledMs() < Double.POSITIVE_INFINITY)
                .map(Views.Epoch::what)
                .toList();
        for (String what : List.of("cut of", "healed", "sidecar 2 goes on", "end of sidecar 3")) {
            assertTrue(
                    settled.stream().anyMatch(each -> each.startsWith(what)),
                    what + " in " + day.views().epochs());
        }
        assertTrue(
                day.events().stream()
                        .anyMatch(event -> event.what().equals("the second sidecar 0 has ended with exit code 1")),
                day.events().toString());
        assertTrue(
                Files.readString(dir.resolve("sidecar-0/twin.log")).contains("is another process of this name here?"));
        String log = Files.readString(dir.resolve("sidecar-2/sidecar.log"));
        assertTrue(log.contains("was given up, or taken for another"), log);
    }

    // ---- The judgement itself.

    private static Views.Look look(double atMs, int by, int... living) {
        Map<Integer, Long> lives = new java.util.HashMap<>();
        IntStream.of(living).forEach(seat -> lives.put(seat, 7L));
        return new Views.Look(atMs, by, java.util.Arrays.toString(living), lives, Map.of());
    }

    private static Views three() {
        Views views = new Views(3, 6000, 5000);
        for (int i = 0; i < 3; i++) {
            views.process(i, Views.Process.ON, 0, "start");
        }
        return views;
    }

    @Test
    void viewsThatAreNeverTrueOrTooLateAreReasonsAndThoseThatAreInTimeAreNot() {
        Views good = three();
        for (int by = 0; by < 3; by++) {
            good.looked(look(1000, by, 0, 1, 2));
        }
        good.process(2, Views.Process.OFF, 10_000, "end of sidecar 2");
        good.looked(look(13_000, 0, 0, 1));
        good.looked(look(15_900, 1, 0, 1));
        good.end(20_000);
        assertEquals(List.of(), good.reasons());
        Views late = three();
        late.process(2, Views.Process.OFF, 10_000, "end of sidecar 2");
        late.looked(look(13_000, 0, 0, 1));
        late.looked(look(16_100, 1, 0, 1));
        late.end(20_000);
        assertTrue(
                late.reasons().toString().contains("end of sidecar 2 at 10.0 s: all were true after 6.1 s"),
                late.reasons().toString());
        Views apart = three();
        for (int by = 0; by < 3; by++) {
            apart.looked(
                    new Views.Look(1000, by, "digest " + by, look(0, 0, 0, 1, 2).living(), Map.of()));
        }
        apart.end(20_000);
        assertTrue(
                apart.reasons().toString().contains("all were true never"),
                "alike is more than each by itself: " + apart.reasons());
        assertFalse(new Views(1, 1, 1).reasons().isEmpty(), "nobody looked");
    }

    @Test
    void whoRunsAndCanBeReachedAndIsGivenUpIsAFalseAccusationAndALifeMustRise() {
        Views views = three();
        views.looked(look(1000, 0, 0, 1, 2));
        views.looked(look(7000, 0, 0, 1));
        assertEquals(1, views.falseAccusations());
        Views cut = three();
        cut.looked(look(1000, 0, 0, 1, 2));
        cut.ways(new boolean[][] {{true, true, false}, {true, true, false}, {false, false, true}}, 2000, "cut");
        cut.looked(look(7000, 0, 0, 1));
        assertEquals(0, cut.falseAccusations());
        Views bridged = three();
        bridged.looked(look(1000, 0, 0, 1, 2));
        bridged.ways(
                new boolean[][] {{true, false, true}, {false, true, true}, {true, true, true}},
                2000,
                "cut of 0 from 1, bridged");
        bridged.looked(look(7000, 0, 0, 2));
        assertEquals(1, bridged.falseAccusations(), "by way of the third they reach each other");
        Views fell = three();
        fell.looked(look(1000, 0, 0, 1, 2));
        fell.looked(new Views.Look(1100, 0, "", Map.of(0, 6L, 1, 7L), Map.of(2, 7L)));
        fell.looked(look(1200, 0, 0, 1, 2));
        String reasons = fell.reasons().toString();
        assertTrue(
                reasons.contains("the life of sidecar 0 did not rise") && reasons.contains("took 2 back with the life"),
                reasons);
    }

    // ---- Storms.

    @Test
    void aStormIsDrawnFromItsSeedAndWhatIsPrintedPlaysTheSame() throws Exception {
        String toml = FIVE
                + "[[fault]]\nkind = \"kill\"\nat_s = 1\npart = 0.4\n[[fault]]\nkind = \"storm\"\nat_s = 0\nfor_s = 60\nevery_s = 2\n"
                + "[[fault]]\nkind = \"freeze\"\nat_s = 2\nlike = 1\npart = 0.4\n";
        Scenario scenario = ScenarioReader.read("storm", toml);
        Scenario drawn = Storm.printable(scenario, 3);
        assertTrue(drawn.faults().size() > 15, drawn.faults().toString());
        assertEquals(
                ScenarioWriter.write("storm", toml, drawn.faults()),
                ScenarioWriter.write("storm", toml, Storm.printable(scenario, 3).faults()));
        assertNotEquals(
                ScenarioWriter.write("storm", toml, drawn.faults()),
                ScenarioWriter.write("storm", toml, Storm.printable(scenario, 4).faults()));
        Scenario again = ScenarioReader.read("printed", ScenarioWriter.write("storm", toml, drawn.faults()));
        assertEquals(
                ScenarioWriter.write("storm", toml, drawn.faults()),
                ScenarioWriter.write("storm", toml, again.faults()));
        assertEquals(1, again.faults().get(1).like(), "it still meets the same ones");
        assertEquals(
                List.of(),
                Storm.without(again, index -> index == 0).faults().stream()
                        .filter(fault -> fault.like() > 0)
                        .toList());
    }

    @Test
    void aFailureIsCutDownToTheFaultsThatItNeeds() {
        List<Integer> all = IntStream.range(0, 40).boxed().toList();
        List<List<Integer>> tried = new ArrayList<>();
        Shrink.Check<Integer, RuntimeException> check = part -> {
            tried.add(part);
            return part.containsAll(List.of(7, 31));
        };
        assertEquals(List.of(7, 31), Shrink.to(all, 1000, check));
        assertTrue(tried.size() < 60, tried.size() + " plays");
        assertEquals(40, Shrink.to(all, 0, check).size());
        Shrink.Check<Integer, RuntimeException> always = part -> true;
        assertEquals(1, Shrink.to(all, 1000, always).size());
    }
}
