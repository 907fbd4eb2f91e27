package ivybank;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.rehearsal.Verdict;
import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.ScenarioReader;
import ivybank.rehearsal.stand.ScenarioRun;
import ivybank.testing.LoadedClasses;
import ivybank.testing.ShortNight;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the packaged jar. */
@Timeout(60)
class JarIT {

    @TempDir
    Path dir;

    @Test
    void serveLoadsNoClassOfDisabledFeatures() throws Exception {
        Path loaded = dir.resolve("loaded.log");
        String command = "exec '" + Path.of(System.getProperty("java.home"), "bin", "java")
                + "' -XX:+UseSerialGC -Xlog:class+load:file=" + loaded + " -jar target/ivybank.jar serve";
        try (ScenarioRun run = new ScenarioRun(
                Plan.draw(ScenarioReader.read("jar", ShortNight.TOML), 1),
                command,
                Path.of("").toAbsolutePath(),
                dir,
                line -> {})) {
            assertEquals(List.of(), Verdict.of(run.run()).reasons());
        }
        LoadedClasses.assertServeAlone(loaded);
    }
}
