package ivybank.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.RequestClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What an attempt means beside the others of its request. */
class RepeatRiskTest {

    private static final RepeatRisk.OtherAttempt OUT = new RepeatRisk.OtherAttempt(true, "a", 1, 1000);
    private static final RepeatRisk.OtherAttempt NEVER_RAN = new RepeatRisk.OtherAttempt(false, "a", 1, 1000);

    private static RequestClass spec(Effect effect, Group group) {
        return new RequestClass("c", 1000, 3000, 1, 0, effect, group, 500, false);
    }

    @Test
    void whatIsSafeMayRunAsOftenAsItLikes() {
        assertEquals(RepeatRisk.HARMLESS, RepeatRisk.of(spec(Effect.SAFE, Group.ALL), List.of(OUT), "b", 2, 9000));
    }

    @Test
    void whatMustNotRunTwiceWaitsForProofThatItDidNot() {
        RequestClass unsafe = spec(Effect.UNSAFE, Group.ALL);
        assertEquals(RepeatRisk.HARMLESS, RepeatRisk.of(unsafe, List.of(), "a", 1, 1001));
        assertEquals(RepeatRisk.HARMLESS, RepeatRisk.of(unsafe, List.of(NEVER_RAN), "a", 1, 1001));
        assertEquals(RepeatRisk.MAY_RUN_TWICE, RepeatRisk.of(unsafe, List.of(NEVER_RAN, OUT), "a", 1, 1001));
    }

    @Test
    void aKeyIsRepeatedWithinItsGroupAndWindowOnly() {
        assertEquals(RepeatRisk.HARMLESS, RepeatRisk.of(spec(Effect.KEYED, Group.ALL), List.of(OUT), "b", 2, 1499));
        assertEquals(
                RepeatRisk.WINDOW_EXPIRED, RepeatRisk.of(spec(Effect.KEYED, Group.ALL), List.of(OUT), "b", 2, 1500));
        assertEquals(RepeatRisk.HARMLESS, RepeatRisk.of(spec(Effect.KEYED, Group.ZONE), List.of(OUT), "a", 2, 1499));
        assertEquals(
                RepeatRisk.MAY_RUN_TWICE, RepeatRisk.of(spec(Effect.KEYED, Group.ZONE), List.of(OUT), "b", 1, 1001));
        assertEquals(
                RepeatRisk.MAY_RUN_TWICE, RepeatRisk.of(spec(Effect.KEYED, Group.CELL), List.of(OUT), "a", 2, 1001));
        assertEquals(
                RepeatRisk.HARMLESS, RepeatRisk.of(spec(Effect.KEYED, Group.ZONE), List.of(NEVER_RAN), "b", 1, 9000));
    }
}
