package ivybank.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.invariants.InvariantGuard.Transmission;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the guard denies, and what of that counts as a violation. */
class InvariantGuardTest {

    private final List<String> lines = new ArrayList<>();
    private final InvariantGuard guard = new InvariantGuard(lines::add);

    private static Transmission attempt(
            boolean ready, boolean over, boolean lapsed, double toldMs, double leftMs, double leastMs, Repeat repeat) {
        return new Transmission(ready, over, lapsed, toldMs, leftMs, leastMs, repeat);
    }

    @Test
    void whatTheRulesAllowIsSentAndNothingIsCounted() {
        assertEquals(Verdict.ALLOWED, guard.sending(attempt(true, false, false, 500, 500, 400, Repeat.HARMLESS)));
        assertEquals(Verdict.ALLOWED, guard.sending(attempt(true, false, false, 1, 200, -500, Repeat.HARMLESS)));
        assertEquals(Verdict.ALLOWED, guard.closing(false, false));
        assertEquals(Verdict.ALLOWED, guard.closing(true, true));
        assertEquals(Verdict.ALLOWED, guard.starting(true));
        assertEquals(0, guard.takeViolations());
        assertEquals(Map.of(), guard.denied());
    }

    @Test
    void whatTimeHasTakenAwayIsDeniedAndIsNoViolation() {
        assertEquals(Verdict.LIST_LAPSED, guard.sending(attempt(true, false, true, 500, 500, 500, Repeat.HARMLESS)));
        assertEquals(Verdict.OUT_OF_TIME, guard.sending(attempt(true, false, false, 1, 0, 0, Repeat.HARMLESS)));
        assertEquals(
                Verdict.WINDOW_OVER, guard.sending(attempt(true, false, false, 500, 500, 500, Repeat.WINDOW_OVER)));
        assertEquals(0, guard.takeViolations());
        assertEquals(List.of(), lines);
    }

    @Test
    void whatShouldHaveBeenSeenToBeforeIsDeniedCountedAndTold() {
        assertEquals(Verdict.NODE_LEFT, guard.sending(attempt(false, false, false, 1, 500, 500, Repeat.HARMLESS)));
        assertEquals(Verdict.REQUEST_OVER, guard.sending(attempt(true, true, false, 1, 500, 500, Repeat.HARMLESS)));
        assertEquals(
                Verdict.TOO_MUCH_TIME_TOLD, guard.sending(attempt(true, false, false, 551, 900, 400, Repeat.HARMLESS)));
        assertEquals(
                Verdict.MAY_RUN_TWICE, guard.sending(attempt(true, false, false, 1, 500, 500, Repeat.MAY_RUN_TWICE)));
        assertEquals(Verdict.UNANSWERED, guard.closing(true, false));
        assertEquals(Verdict.NOT_ASKED, guard.starting(false));
        assertEquals(6, guard.takeViolations());
        assertEquals(0, guard.takeViolations(), "told once");
        assertEquals(6, lines.size());
    }
}
