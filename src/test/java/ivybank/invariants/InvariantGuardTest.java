package ivybank.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.invariants.InvariantGuard.Transmission;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests what the guard denies, and which denials count as violations. */
class InvariantGuardTest {

    private final List<String> lines = new ArrayList<>();
    private final InvariantGuard guard = new InvariantGuard(lines::add);

    private static Transmission attempt(
            boolean nodeReady,
            boolean requestCompleted,
            boolean listExpired,
            double nodeBudgetMs,
            double maxClientRemainingMs,
            double minClientRemainingMs,
            RepeatRisk repeatRisk) {
        return new Transmission(
                nodeReady,
                requestCompleted,
                listExpired,
                nodeBudgetMs,
                maxClientRemainingMs,
                minClientRemainingMs,
                repeatRisk);
    }

    @Test
    void allowedActionsAreNotCounted() {
        assertEquals(Verdict.ALLOWED, guard.checkSend(attempt(true, false, false, 500, 500, 400, RepeatRisk.HARMLESS)));
        assertEquals(Verdict.ALLOWED, guard.checkSend(attempt(true, false, false, 1, 200, -500, RepeatRisk.HARMLESS)));
        assertEquals(Verdict.ALLOWED, guard.checkClose(false, false));
        assertEquals(Verdict.ALLOWED, guard.checkClose(true, true));
        assertEquals(Verdict.ALLOWED, guard.checkStart(true));
        assertEquals(0, guard.takeNewViolations());
        assertEquals(Map.of(), guard.denied());
    }

    @Test
    void denialsForElapsedTimeAreNoViolations() {
        assertEquals(
                Verdict.LIST_LAPSED, guard.checkSend(attempt(true, false, true, 500, 500, 500, RepeatRisk.HARMLESS)));
        assertEquals(Verdict.OUT_OF_TIME, guard.checkSend(attempt(true, false, false, 1, 0, 0, RepeatRisk.HARMLESS)));
        assertEquals(
                Verdict.WINDOW_OVER,
                guard.checkSend(attempt(true, false, false, 500, 500, 500, RepeatRisk.WINDOW_EXPIRED)));
        assertEquals(0, guard.takeNewViolations());
        assertEquals(List.of(), lines);
    }

    @Test
    void violationsAreDeniedCountedAndLogged() {
        assertEquals(
                Verdict.NODE_LEFT, guard.checkSend(attempt(false, false, false, 1, 500, 500, RepeatRisk.HARMLESS)));
        assertEquals(
                Verdict.REQUEST_OVER, guard.checkSend(attempt(true, true, false, 1, 500, 500, RepeatRisk.HARMLESS)));
        assertEquals(
                Verdict.TOO_MUCH_TIME_TOLD,
                guard.checkSend(attempt(true, false, false, 551, 900, 400, RepeatRisk.HARMLESS)));
        assertEquals(
                Verdict.MAY_RUN_TWICE,
                guard.checkSend(attempt(true, false, false, 1, 500, 500, RepeatRisk.MAY_RUN_TWICE)));
        assertEquals(Verdict.UNANSWERED, guard.checkClose(true, false));
        assertEquals(Verdict.NOT_ASKED, guard.checkStart(false));
        assertEquals(6, guard.takeNewViolations());
        assertEquals(0, guard.takeNewViolations(), "each violation is reported once");
        assertEquals(6, lines.size());
    }
}
