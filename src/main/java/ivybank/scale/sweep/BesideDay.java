package ivybank.scale.sweep;

import ivybank.rehearsal.Verdict;
import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.ScenarioReader;
import ivybank.rehearsal.stand.ScenarioRun;
import ivybank.scale.plan.ScalePlan;
import ivybank.scale.result.ScaleResult;
import ivybank.toml.InputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** A day of real sidecars with clients and stand-in nodes, judged by the rehearsal kit's referee. */
final class BesideDay {

    private static final int NODES = 12;
    private static final double CALLS_A_SIDECAR = 61.3;
    private static final long SEED = 1;

    private BesideDay() {}

    static ScaleResult.BesideResult play(ScalePlan.Beside beside, String command, Path folder)
            throws IOException, InputException, InterruptedException {
        Plan plan = Plan.draw(ScenarioReader.read("beside", scenario(beside)), SEED);
        Path state = Files.createDirectories(folder.resolve("beside"));
        try (ScenarioRun day = new ScenarioRun(plan, command, Path.of("").toAbsolutePath(), state, line -> {})) {
            ScenarioRun.Result result = day.run();
            Verdict verdict = Verdict.of(result);
            return new ScaleResult.BesideResult(
                    beside.sidecars(),
                    verdict.kind().name().toLowerCase(Locale.ROOT),
                    verdict.reasons(),
                    result.service().figure());
        }
    }

    private static String scenario(ScalePlan.Beside beside) {
        double rate = CALLS_A_SIDECAR * beside.sidecars();
        return String.format(Locale.ROOT, """
            name = "beside"
            length_s = %s
            [fleet]
            nodes = %d
            sites = 4
            [[kind]]
            name = "node"
            cores = 4
            [[class]]
            name = "read"
            work_ms = 2
            aim_ms = 800
            deadline_ms = 2000
            effect = "safe"
            [[class]]
            name = "write"
            work_ms = 2
            aim_ms = 800
            deadline_ms = 2000
            effect = "unsafe"
            [traffic]
            rate = %s
            sidecars = %d
            """, beside.lengthS(), NODES, rate, beside.sidecars());
    }
}
