package ivybank.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.ScenarioReader;
import ivybank.rehearsal.stand.Day;
import ivybank.testing.ShortNight;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The kit itself, round real sidecars. */
@Timeout(120)
class DayTest {

    @TempDir
    Path dir;

    private Verdict play(String name, String options) throws Exception {
        Path state = Files.createDirectories(dir.resolve(name));
        try (Day day = new Day(Plan.draw(ScenarioReader.read(name, ShortNight.TOML), 1), ShortNight.program(options) + "serve", Path.of("").toAbsolutePath(), state, line -> { })) {
            return Verdict.of(day.play());
        }
    }

    @Test
    void serveLoadsNoClassOfThePartsThatAreOff() throws Exception {
        Path loaded = dir.resolve("loaded.log");
        play("classes", "-Xlog:class+load:file=" + loaded);
        List<String> classes = Files.readAllLines(loaded);
        assertTrue(classes.stream().anyMatch(line -> line.contains("ivybank.daemon.Sidecar")));
        for (String part : List.of("ivybank.rehearsal", "ivybank.cli.", "ivybank.operator", "ivybank.toml.StrictTable", "picocli", "org.HdrHistogram",
                "dataformat.toml")) {
            assertEquals(List.of(), classes.stream().filter(line -> line.contains(part)).toList());
        }
    }

    @Test
    void twoKitsOnOneMachineDoNotMeet() throws Exception {
        CompletableFuture<Verdict> other = CompletableFuture.supplyAsync(() -> {
            try {
                return play("one", "");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertEquals(List.of(), play("two", "").reasons());
        assertEquals(List.of(), other.get().reasons());
    }

    @Test
    void aKitThatIsKilledLeavesNoSidecarBehind() throws Exception {
        Path file = Files.writeString(dir.resolve("long.toml"), ShortNight.TOML.replace("length_s = 2", "length_s = 60"));
        String mark = "mark-" + ProcessHandle.current().pid() + "-" + System.nanoTime();
        Process kit = new ProcessBuilder("/bin/sh", "-c", ShortNight.program("") + "rehearse run " + file + " --state "
                + dir.resolve("killed") + " --sidecar \"" + ShortNight.program("-Dmark=" + mark) + "serve\"").redirectErrorStream(true).start();
        BufferedReader said = new BufferedReader(new InputStreamReader(kit.getInputStream()));
        String line = said.readLine();
        while (line != null && !line.contains(" of 60 s")) {
            line = said.readLine();
        }
        assertNotNull(line, "it has begun");
        List<ProcessHandle> sidecars = marked(mark);
        assertFalse(sidecars.isEmpty());
        kit.destroyForcibly().waitFor();
        for (ProcessHandle sidecar : sidecars) {
            sidecar.onExit().get();
        }
    }

    private static List<ProcessHandle> marked(String mark) {
        try (Stream<ProcessHandle> all = ProcessHandle.allProcesses()) {
            return all.filter(each -> each.info().arguments().map(arguments -> List.of(arguments).contains("-Dmark=" + mark))
                    .orElse(false)).toList();
        }
    }
}
