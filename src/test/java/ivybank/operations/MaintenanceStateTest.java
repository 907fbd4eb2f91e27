package ivybank.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

/** Tests the times that a process gives to orders which another process has taken. */
class MaintenanceStateTest {

    private static final double ORDER_MS = 1_700_000_000_000.0;
    private static final double ORDER_MONOTONIC_MS = 5_000_000;
    private static final double LATER_MS = 2500;
    private static final double HOUR_MS = 3_600_000;

    private static MaintenanceState observed(MaintenanceState onFile, double nowMs, double monotonicMs) {
        return onFile.withObservedTimes(MaintenanceState.NONE, MaintenanceState.NONE, nowMs, monotonicMs);
    }

    // Guards against a process that begins the time of a standby anew when it starts.
    @Test
    void aStandbyKeepsItsAgeInAnotherProcessWhateverItsWallClock() {
        MaintenanceState onFile = MaintenanceState.NONE.enterStandby(ORDER_MS, ORDER_MONOTONIC_MS);
        for (double aheadMs : new double[] {-HOUR_MS, 0, HOUR_MS}) {
            double nowMs = ORDER_MS + LATER_MS + aheadMs;
            MaintenanceState here = observed(onFile, nowMs, ORDER_MONOTONIC_MS + LATER_MS);
            assertEquals(nowMs - LATER_MS, here.standbySinceMs());
            MaintenanceState again =
                    onFile.withObservedTimes(onFile, here, nowMs + LATER_MS, ORDER_MONOTONIC_MS + 2 * LATER_MS);
            assertEquals(here, again);
        }
    }

    @Test
    void aStandbyOfUnknownAgeIsInItsLastPhase() {
        MaintenanceState unknown = MaintenanceState.NONE.enterStandby(ORDER_MS, Double.NaN);
        MaintenanceState beforeReboot = MaintenanceState.NONE.enterStandby(ORDER_MS, ORDER_MONOTONIC_MS);
        for (MaintenanceState onFile : new MaintenanceState[] {unknown, beforeReboot}) {
            Standby standby = observed(onFile, ORDER_MS, 1).standby();
            assertEquals(Standby.Phase.CLOSING_ALL, standby.phase(ORDER_MS));
        }
        assertFalse(observed(MaintenanceState.NONE, ORDER_MS, 1).isOnStandby());
    }
}
