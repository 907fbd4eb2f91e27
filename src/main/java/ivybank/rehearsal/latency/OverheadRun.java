package ivybank.rehearsal.latency;

import java.util.Optional;

/**
 * One run: what was measured, the warm-up before it, and whether the result counts.
 *
 * @param number from 1 among the runs with its sidecar
 * @param cpuMs CPU time of the sidecar for each request due through it, warm-up included, in ms
 * @param punctual what was measured of those for which the generator was on time; no result
 * @param stolenPart of the processor time that was wanted on this machine's processors, what the host gave to others
 * @param voidReason why the result doesn't count; empty if it does
 */
public record OverheadRun(
        int number,
        double warmUpS,
        RunSummary warmUp,
        RunSummary measured,
        RunSummary punctual,
        double cpuMs,
        double stolenPart,
        Optional<String> voidReason) {

    public boolean isVoid() {
        return voidReason.isPresent();
    }
}
