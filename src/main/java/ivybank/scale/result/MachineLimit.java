package ivybank.scale.result;

import ivybank.scale.result.Quantity.Measure;
import java.util.Locale;

/**
 * The rule by which a measurement is left out, because the machine and not the program was the limit. Counts always stand. Processor
 * times are left out where an event loop was late, times on the clock also where the processors were busy and a loop was late by a
 * fifth of that.
 *
 * @param busyPart how much of the processors may be in use, by whatever program
 * @param lateMs how late 99 in 100 of the looks at an event loop's own clock may be
 */
public record MachineLimit(double busyPart, double lateMs) {

    private static final double PART_WHEN_BUSY = 0.2;

    /**
     * Why a measurement is left out, in words; empty where it counts.
     *
     * @param busy the part of the processors in use while it was taken
     * @param late the 99th percentile of the lateness of the latest event loop, ms
     */
    public String reason(Measure measure, double busy, double late) {
        if (measure == Measure.COUNT) {
            return "";
        }
        if (late > lateMs) {
            return String.format(Locale.ROOT, "an event loop was late by more than %.0f ms", lateMs);
        }
        double lateWhenBusyMs = PART_WHEN_BUSY * lateMs;
        if (measure == Measure.TIME && busy > busyPart && late > lateWhenBusyMs) {
            return String.format(
                    Locale.ROOT,
                    "more than %.0f%% of the processors were busy and an event loop was late by more than %.0f ms",
                    100 * busyPart,
                    lateWhenBusyMs);
        }
        return "";
    }
}
