package ivybank.rehearsal.stand;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Looks at the sidecars' processes: crashes, use of the machine, and memory beyond the limit. Lives on the event loop, but for what
 * it reads from the system, which may take long.
 */
final class ProcessMonitor {

    private static final double INTERVAL_MS = 500;

    private final RunContext run;
    private final SidecarGroup sidecars;

    ProcessMonitor(RunContext run, SidecarGroup sidecars) {
        this.run = run;
        this.sidecars = sidecars;
    }

    /** What the system tells of a process; {@code used} is null where it tells nothing. */
    private record Sample(int number, SidecarProcess sidecar, double starvedMs, double[] used) {}

    /** Looks now and from now on. */
    void start() {
        for (int i = 0; i < sidecars.size(); i++) {
            checkForCrash(i, sidecars.process(i));
        }
        if (run.workers.isShutdown()) {
            return; // the run is over
        }
        run.workers.execute(() -> {
            List<Sample> samples = sample();
            run.loop.execute(() -> {
                samples.forEach(this::take);
                run.world.after(INTERVAL_MS, this::start);
            });
        });
    }

    private void checkForCrash(int number, SidecarProcess sidecar) {
        if (sidecar.started() && sidecar.crashed() && sidecars.isUp(number)) {
            sidecars.down(number);
            run.referee.crashed(number, sidecar.exitCode(), run.world.nowMs());
        }
    }

    private List<Sample> sample() {
        List<Sample> samples = new ArrayList<>();
        for (int i = 0; i < sidecars.size(); i++) {
            SidecarProcess sidecar = sidecars.process(i);
            if (sidecar.started() && sidecar.alive()) {
                samples.add(new Sample(i, sidecar, sidecar.starvedMs(), sidecar.usage()));
            }
        }
        return samples;
    }

    private void take(Sample sample) {
        if (sidecars.isUp(sample.number)) {
            run.recorder.starved(sample.starvedMs);
        }
        double[] used = sample.used;
        if (used != null) {
            ScenarioRun.Usage usage =
                    new ScenarioRun.Usage(run.world.nowMs(), sample.number, used[0], used[1], used[2]);
            run.recorder.usage(usage);
            if (usage.memoryMb() > run.scenario.limits().memoryMb()) {
                killForMemory(usage, sample.sidecar);
            }
        }
    }

    private void killForMemory(ScenarioRun.Usage usage, SidecarProcess sidecar) {
        run.recorder.event(String.format(
                Locale.ROOT,
                "sidecar %d holds %.0f MB of memory, %d are allowed: it is killed",
                usage.sidecar(),
                usage.memoryMb(),
                run.scenario.limits().memoryMb()));
        sidecar.killForMemory();
    }
}
