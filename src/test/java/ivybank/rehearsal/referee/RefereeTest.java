package ivybank.rehearsal.referee;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.rehearsal.referee.Referee.Attempt;
import ivybank.rehearsal.referee.Referee.Ending;
import ivybank.rehearsal.referee.Referee.Rule;
import ivybank.rehearsal.scenario.Scenario.Effect;
import ivybank.rehearsal.scenario.Scenario.RequestClass;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RefereeTest {

    private final Referee referee = new Referee(2, 500, 50);

    private static RequestClass spec(Effect effect, boolean bySite, double windowMs) {
        return new RequestClass("c", 1, new double[2], new double[2], 1000, 3000, 1, effect, bySite, windowMs);
    }

    private void taken(String id, Effect effect) {
        referee.call(id, 0, spec(effect, false, 1e9));
        referee.taken(id, 0);
    }

    private Attempt begun(String host, String id, double atMs) {
        return referee.begun(host, "site of " + host, id, atMs, atMs);
    }

    private void assertBroken(Rule rule, int times) {
        assertEquals(Map.of(rule, times), referee.counts());
    }

    @Test
    void whatIsServedWithItsOwnAnswerOnceIsGood() {
        taken("a", Effect.UNSAFE);
        referee.ended(begun("n1", "a", 1), Ending.SERVED, "body of a", 5);
        referee.answered("a", 200, "body of a", 6);
        taken("b", Effect.SAFE);
        referee.answered("b", 503, "", 6);
        taken("c", Effect.UNSAFE);
        referee.answered("c", 503, "", 6);
        assertEquals(Map.of(), referee.counts());
    }

    @Test
    void anyOfTwoCopiesMayBeServed() {
        taken("a", Effect.SAFE);
        Attempt first = begun("n1", "a", 1);
        referee.ended(begun("n2", "a", 2), Ending.SERVED, "by n2", 5);
        referee.ended(first, Ending.SERVED, "by n1", 6);
        referee.answered("a", 200, "by n2", 7);
        assertEquals(Map.of(), referee.counts());
    }

    @Test
    void anotherCallsAnswerASecondAnswerAndNoneAreBreaches() {
        taken("a", Effect.SAFE);
        taken("b", Effect.SAFE);
        referee.ended(begun("n1", "a", 1), Ending.SERVED, "body of a", 5);
        referee.answered("b", 200, "body of a", 6);
        assertBroken(Rule.ANSWER, 1);
        referee.answered("b", 200, "body of a", 7);
        assertBroken(Rule.ANSWER, 2);
        referee.unanswered("a", 9, "got no answer");
        assertBroken(Rule.ANSWER, 3);
    }

    @Test
    void unsafeCallsGoAgainOnlyAfterAProofThatTheyDidNotRun() {
        taken("a", Effect.UNSAFE);
        referee.ended(begun("n1", "a", 1), Ending.REJECTED, null, 2);
        referee.ended(begun("n2", "a", 3), Ending.SPOILT, null, 4);
        assertEquals(Map.of(), referee.counts());
        begun("n3", "a", 5);
        assertBroken(Rule.REPEAT, 1);
        taken("b", Effect.SAFE);
        referee.ended(begun("n1", "b", 1), Ending.SPOILT, null, 2);
        begun("n2", "b", 3);
        assertBroken(Rule.REPEAT, 1);
    }

    @Test
    void whatMayHaveRunIsNotRefused() {
        for (Ending ending : Ending.values()) {
            taken(ending.name(), Effect.UNSAFE);
            referee.ended(begun("n1", ending.name(), 1), ending, null, 2);
            referee.answered(ending.name(), 429, "", 3);
        }
        assertBroken(Rule.REFUSAL, Ending.values().length - 1);
    }

    @Test
    void aCallThatNoClientHasSentIsABreach() {
        assertEquals(null, begun("n1", "x", 1));
        assertBroken(Rule.REPEAT, 1);
    }

    @Test
    void theFirstByteCountsAndEachSidecarIsToldForItself() {
        referee.told(0, "n1", 1000);
        referee.told(0, "n1", 5000); // hearing it again gives no more time
        taken("a", Effect.SAFE);
        referee.begun("n1", "s", "a", 1550, 1900);
        assertEquals(Map.of(), referee.counts());
        taken("b", Effect.SAFE);
        referee.begun("n1", "s", "b", 1551, 1551);
        assertBroken(Rule.DRAIN, 1);
        referee.call("c", 1, spec(Effect.SAFE, false, 1e9));
        referee.begun("n1", "s", "c", 9000, 9000);
        assertBroken(Rule.DRAIN, 1);
        referee.startedAnew(0);
        taken("d", Effect.SAFE);
        referee.begun("n1", "s", "d", 9000, 9000);
        assertBroken(Rule.DRAIN, 1);
    }

    @Test
    void aFinalAnswerLongAfterTheLastAttemptWasHeldBack() {
        taken("a", Effect.SAFE);
        referee.ended(begun("n1", "a", 1), Ending.ERROR, null, 100);
        referee.answered("a", 502, "", 100 + 600 + 1500);
        assertEquals(Map.of(), referee.counts());
        taken("b", Effect.SAFE);
        referee.answered("b", 503, "", 600 + 1500 + 1);
        assertBroken(Rule.HELD_BACK, 1);
        taken("c", Effect.SAFE);
        begun("n1", "c", 1); // still out: the node is silent
        referee.answered("c", 504, "", 3000);
        assertBroken(Rule.HELD_BACK, 1);
        taken("d", Effect.SAFE);
        referee.wentOn(0, 5000); // it was stopped till then
        referee.answered("d", 503, "", 5000 + 600 + 1500);
        assertBroken(Rule.HELD_BACK, 1);
        taken("e", Effect.SAFE);
        referee.answered("e", 503, "", 5000 + 600 + 1500 + 1);
        assertBroken(Rule.HELD_BACK, 2);
    }

    @Test
    void countsAllAndKeepsTheFirstExamples() {
        for (int i = 0; i < 100; i++) {
            referee.fell("n" + i, i, 1.5);
        }
        assertBroken(Rule.COLD, 100);
        assertEquals(20, referee.examples().size());
        assertTrue(referee.examples().get(0).what().contains("n0"));
    }

    @Test
    void whoSendsRubbishIsOwedAnErrorOrACloseAndNoService() {
        referee.rude(0, "GET", 400, 10);
        referee.rude(0, "GET", 503, 10);
        assertEquals(Map.of(), referee.counts());
        referee.rude(0, "GET", 200, 10);
        referee.rude(0, "", 0, 3100);
        assertBroken(Rule.ANSWER, 2);
    }

    @Test
    void keyedCallsGoAgainOnlyWithinTheirGroupAndTime() {
        referee.call("a", 0, spec(Effect.KEYED, true, 500));
        referee.taken("a", 0);
        referee.ended(begun("n1", "a", 0), Ending.REJECTED, null, 1);
        referee.begun("n2", "s", "a", 2, 2);
        referee.begun("n3", "s", "a", 502, 502);
        assertEquals(Map.of(), referee.counts());
        referee.begun("n4", "t", "a", 502, 502);
        assertBroken(Rule.REPEAT, 1);
        referee.begun("n5", "s", "a", 503, 503);
        assertBroken(Rule.REPEAT, 2);
    }
}
