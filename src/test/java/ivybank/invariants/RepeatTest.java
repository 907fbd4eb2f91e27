package ivybank.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.RequestClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What an attempt means beside the others of its request. */
class RepeatTest {

    private static final Repeat.Other OUT = new Repeat.Other(true, "a", 1, 1000);
    private static final Repeat.Other NEVER_RAN = new Repeat.Other(false, "a", 1, 1000);

    private static RequestClass spec(Effect effect, Group group) {
        return new RequestClass("c", 1000, 3000, 1, 0, effect, group, 500, false);
    }

    @Test
    void whatIsSafeMayRunAsOftenAsItLikes() {
        assertEquals(Repeat.HARMLESS, Repeat.of(spec(Effect.SAFE, Group.ALL), List.of(OUT), "b", 2, 9000));
    }

    @Test
    void whatMustNotRunTwiceWaitsForProofThatItDidNot() {
        RequestClass unsafe = spec(Effect.UNSAFE, Group.ALL);
        assertEquals(Repeat.HARMLESS, Repeat.of(unsafe, List.of(), "a", 1, 1001));
        assertEquals(Repeat.HARMLESS, Repeat.of(unsafe, List.of(NEVER_RAN), "a", 1, 1001));
        assertEquals(Repeat.MAY_RUN_TWICE, Repeat.of(unsafe, List.of(NEVER_RAN, OUT), "a", 1, 1001));
    }

    @Test
    void aKeyIsRepeatedWithinItsGroupAndWindowOnly() {
        assertEquals(Repeat.HARMLESS, Repeat.of(spec(Effect.KEYED, Group.ALL), List.of(OUT), "b", 2, 1499));
        assertEquals(Repeat.WINDOW_OVER, Repeat.of(spec(Effect.KEYED, Group.ALL), List.of(OUT), "b", 2, 1500));
        assertEquals(Repeat.HARMLESS, Repeat.of(spec(Effect.KEYED, Group.ZONE), List.of(OUT), "a", 2, 1499));
        assertEquals(Repeat.MAY_RUN_TWICE, Repeat.of(spec(Effect.KEYED, Group.ZONE), List.of(OUT), "b", 1, 1001));
        assertEquals(Repeat.MAY_RUN_TWICE, Repeat.of(spec(Effect.KEYED, Group.CELL), List.of(OUT), "a", 2, 1001));
        assertEquals(Repeat.HARMLESS, Repeat.of(spec(Effect.KEYED, Group.ZONE), List.of(NEVER_RAN), "b", 1, 9000));
    }
}
