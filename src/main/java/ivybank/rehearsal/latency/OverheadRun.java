package ivybank.rehearsal.latency;

import java.util.Optional;

/**
 * One run: what was measured, the warm-up before it, and whether the result counts.
 *
 * @param number from 1 among the runs with its sidecar
 * @param cpuMs CPU time of the sidecar for each request due through it, warm-up included, in ms
 * @param voidReason why the result doesn't count; empty if it does
 */
public record OverheadRun(
        int number, double warmUpS, RunSummary warmUp, RunSummary measured, double cpuMs, Optional<String> voidReason) {

    public boolean isVoid() {
        return voidReason.isPresent();
    }
}
