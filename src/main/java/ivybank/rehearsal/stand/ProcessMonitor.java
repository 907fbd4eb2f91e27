package ivybank.rehearsal.stand;

import java.util.Locale;

/**
 * Looks at the sidecars' processes: crashes, use of the machine, and memory beyond the limit. Lives on the event loop.
 */
final class ProcessMonitor {

    private static final double INTERVAL_MS = 500;

    private final RunContext run;
    private final SidecarGroup sidecars;

    ProcessMonitor(RunContext run, SidecarGroup sidecars) {
        this.run = run;
        this.sidecars = sidecars;
    }

    /** Looks now and from now on. */
    void start() {
        for (int i = 0; i < sidecars.size(); i++) {
            SidecarProcess sidecar = sidecars.process(i);
            if (sidecar.started()) {
                check(i, sidecar);
            }
        }
        run.world.after(INTERVAL_MS, this::start);
    }

    private void check(int number, SidecarProcess sidecar) {
        if (sidecar.crashed() && sidecars.isUp(number)) {
            sidecars.down(number);
            run.referee.crashed(number, sidecar.exitCode(), run.world.nowMs());
        }
        if (sidecar.alive() && sidecars.isUp(number)) {
            run.recorder.starved(sidecar.starvedMs());
        }
        double[] used = sidecar.alive() ? sidecar.usage() : null;
        if (used != null) {
            ScenarioRun.Usage usage = new ScenarioRun.Usage(run.world.nowMs(), number, used[0], used[1], used[2]);
            run.recorder.usage(usage);
            if (usage.memoryMb() > run.scenario.limits().memoryMb()) {
                killForMemory(usage, sidecar);
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
