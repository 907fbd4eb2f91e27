package ivybank.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.Limits;
import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import ivybank.policy.Balancer.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each departure from the ordinary path: that it acts on its condition, and that it ends. */
class DeparturesTest {

    private static final Limits LIMITS = new Limits(4, true, true, false, 0);

    /** What an upstream does with an attempt: its outcome once the time has come, or null to stay silent. */
    private interface Fleet {
        Outcome answer(RuleCheckingSidecar.SentAttempt attempt, double ageMs);
    }

    private static final Fleet SOUND = (attempt, ageMs) -> ageMs >= 50 ? Outcome.OK : null;

    /** Plays requests at a steady pace, the classes in turn. */
    private static void play(RuleCheckingSidecar sidecar, double ms, double everyMs, Fleet fleet) {
        int classes = sidecar.settings.classes().size();
        double until = sidecar.nowMs + ms;
        for (int i = 0; sidecar.nowMs < until; i++) {
            sidecar.request(i % classes);
            for (double passed = 0; passed < everyMs; passed += Samples.TICK_MS) {
                sidecar.advance(Samples.TICK_MS);
                for (RuleCheckingSidecar.SentAttempt attempt : sidecar.inFlight()) {
                    Outcome outcome = fleet.answer(attempt, sidecar.nowMs - attempt.sentMs);
                    if (outcome != null) {
                        sidecar.endAttempt(attempt, outcome);
                    }
                }
            }
        }
    }

    private static Fleet one(int upstream, Fleet its) {
        return (attempt, ageMs) -> (attempt.upstream == upstream ? its : SOUND).answer(attempt, ageMs);
    }

    private static long sentTo(RuleCheckingSidecar sidecar, int upstream, double sinceMs) {
        return sidecar.sent.stream()
                .filter(attempt -> attempt.upstream == upstream && attempt.sentMs >= sinceMs)
                .count();
    }

    private static RuleCheckingSidecar sidecar(int upstreams) {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(upstreams);
        play(sidecar, 5000, 10, SOUND);
        return sidecar;
    }

    /** Eight sidecars have room for one attempt each at a slow server. */
    private static RuleCheckingSidecar oneOfEight(int upstreams) {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                Samples.settings(8, LIMITS, false, List.of(), Samples.requestClass(Effect.SAFE, Group.ALL, 1)), 5);
        sidecar.listReady(upstreams);
        play(sidecar, 5000, 10, SOUND);
        return sidecar;
    }

    private static void assertSetAsideAndBack(Fleet trouble) {
        RuleCheckingSidecar sidecar = sidecar(5);
        play(sidecar, 1000, 10, one(2, trouble));
        double later = sidecar.nowMs;
        play(sidecar, 8000, 10, one(2, trouble));
        assertTrue(sentTo(sidecar, 2, later) <= 12, "only trials: " + sentTo(sidecar, 2, later));
        assertTrue(sidecar.logs.stream().anyMatch(line -> line.startsWith("upstream 2 is set aside")));
        play(sidecar, 15_000, 10, SOUND);
        long last = sentTo(sidecar, 2, sidecar.nowMs - 5000);
        assertTrue(last > 10, "back in the draw: " + last);
        assertTrue(sidecar.logs.stream().anyMatch(line -> line.startsWith("upstream 2 answers again")));
        assertTrue(sidecar.served > 0.95 * (sidecar.served + sidecar.refused + sidecar.failed));
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void aSilentServerIsSetAsideAndComesBack() {
        assertSetAsideAndBack((attempt, ageMs) -> null);
    }

    @Test
    void aServerThatFailsAtOnceDrawsNoLoad() {
        assertSetAsideAndBack((attempt, ageMs) -> Outcome.ERROR);
    }

    @Test
    void aServerOutOfReachIsSetAsideAndComesBack() {
        assertSetAsideAndBack((attempt, ageMs) -> ageMs >= 100 ? Outcome.CONNECT_FAILED : null);
    }

    @Test
    void aServerThatRefusesIsSetAsideAndComesBack() {
        assertSetAsideAndBack((attempt, ageMs) -> Outcome.REJECTED);
    }

    @Test
    void unsafeRequestsAreNotRiskedOnTrials() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                Samples.settings(
                        Samples.requestClass(Effect.UNSAFE, Group.ALL, 1),
                        Samples.requestClass(Effect.SAFE, Group.ALL, 1)),
                5);
        sidecar.listReady(5);
        play(sidecar, 5000, 10, SOUND);
        play(sidecar, 2000, 10, one(2, (attempt, ageMs) -> null));
        double later = sidecar.nowMs;
        play(sidecar, 5000, 10, one(2, (attempt, ageMs) -> null));
        assertTrue(
                sidecar.sent.stream()
                        .filter(attempt -> attempt.upstream == 2 && attempt.sentMs >= later)
                        .noneMatch(attempt -> attempt.request % 2 == 1),
                "requests of odd number are unsafe");
        assertTrue(sentTo(sidecar, 2, later) > 0, "safe ones try it");
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void whereNothingIsSafeAServerSetAsideStillComesBack() {
        // Only safe requests were trials: without such a class a server once set aside stayed out for good.
        RuleCheckingSidecar sidecar =
                new RuleCheckingSidecar(Samples.settings(Samples.requestClass(Effect.UNSAFE, Group.ALL, 1)), 5);
        sidecar.listReady(5);
        play(sidecar, 5000, 10, SOUND);
        play(sidecar, 2000, 10, one(2, (attempt, ageMs) -> ageMs >= 100 ? Outcome.CONNECT_FAILED : null));
        double later = sidecar.nowMs;
        play(sidecar, 3000, 10, one(2, (attempt, ageMs) -> ageMs >= 100 ? Outcome.CONNECT_FAILED : null));
        assertTrue(sentTo(sidecar, 2, later) <= 10, "out for the most part");
        play(sidecar, 8000, 10, SOUND);
        assertTrue(sentTo(sidecar, 2, sidecar.nowMs - 3000) > 20, "back: " + sentTo(sidecar, 2, sidecar.nowMs - 3000));
        assertEquals(List.of(), sidecar.violations);
    }

    /** Settings of sidecars that are told by probes what servers hold. */
    private static RuleCheckingSidecar probing(double price) {
        Settings plain = Samples.settings(Samples.requestClass(Effect.UNSAFE, Group.ALL, 1));
        Settings settings = new Settings(
                plain.classes(),
                List.of(),
                1,
                false,
                true,
                1,
                1,
                List.of("waiting", "active"),
                new Limits(4, true, true, true, 0),
                plain.contract(),
                new Balancer.Goal(1, 0, 0, price));
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, 5);
        sidecar.listReady(8);
        return sidecar;
    }

    @Test
    void aRequestGoesToTheProbedMemberThatHoldsLeast() {
        RuleCheckingSidecar sidecar = probing(0.002);
        for (int round = 0; round < 20; round++) {
            int request = sidecar.request(0);
            assertTrue(sidecar.attemptsOf(request).isEmpty(), "it waits for the probes");
            List<Integer> probed = List.copyOf(sidecar.probed);
            sidecar.probed.clear();
            assertEquals(5, probed.stream().distinct().count());
            int idle = probed.get(round % 5);
            probed.forEach(id -> sidecar.balancer.probeEnded(
                    sidecar.nowMs, id, Outcome.OK, 1, new double[] {0, id == idle ? 0 : 2}));
            assertEquals(idle, sidecar.lastAttempt().upstream);
            sidecar.endAttempt(sidecar.lastAttempt(), Outcome.OK);
        }
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void aRequestIsNotSentWhereProbesLeaveItNoTime() {
        // All members held more than could be served within the aim, and were sent ever more.
        RuleCheckingSidecar sidecar = probing(0.002);
        int request = sidecar.request(0);
        List.copyOf(sidecar.probed)
                .forEach(id -> sidecar.balancer.probeEnded(sidecar.nowMs, id, Outcome.OK, 1, new double[] {8, 9}));
        sidecar.advance(1000);
        assertTrue(sidecar.isCompleted(request));
        assertEquals(0, sidecar.attemptsOf(request).size());
        assertEquals(1, sidecar.refused);
    }

    @Test
    void probesThatAreNotAnsweredHoldARequestForAControlTickAtMost() {
        RuleCheckingSidecar sidecar = probing(0.002);
        int request = sidecar.request(0);
        sidecar.advance(130); // two control ticks of a sixteenth of the aim
        assertEquals(1, sidecar.attemptsOf(request).size());
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void dearProbesAreNotSent() {
        RuleCheckingSidecar sidecar = probing(0.05);
        int request = sidecar.request(0);
        assertEquals(1, sidecar.attemptsOf(request).size());
        assertTrue(sidecar.probed.isEmpty());
    }

    @Test
    void whenMostFailTheyAreStillTried() {
        RuleCheckingSidecar sidecar = sidecar(5);
        play(sidecar, 10_000, 20, (attempt, ageMs) -> Outcome.ERROR);
        double from = sidecar.nowMs;
        play(sidecar, 3000, 20, SOUND);
        assertTrue(sidecar.sent.stream()
                        .filter(attempt -> attempt.sentMs >= from && attempt.outcome == Outcome.OK)
                        .count()
                > 20);
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void aStuckAttemptIsCopiedOnlyWhereAllowed() {
        for (boolean copies : new boolean[] {true, false}) {
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                    Samples.settings(
                            1,
                            new Limits(4, copies, true, false, 0),
                            false,
                            List.of(),
                            Samples.requestClass(Effect.SAFE, Group.ALL, 1)),
                    5);
            sidecar.listReady(5);
            play(sidecar, 5000, 10, SOUND);
            double from = sidecar.nowMs;
            play(sidecar, 2000, 10, one(2, (attempt, ageMs) -> null));
            boolean copied = sidecar.sent.stream()
                    .anyMatch(attempt -> attempt.sentMs >= from && attempt.number > 0 && attempt.sentMs < from + 500);
            assertEquals(copies, copied);
            assertEquals(List.of(), sidecar.violations);
        }
    }

    @Test
    void aSparseSidecarCopiesNothing() {
        // At two requests a second a long request looks stuck; its copy only cost work.
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(5);
        play(sidecar, 20_000, 500, SOUND);
        double from = sidecar.nowMs;
        play(sidecar, 20_000, 500, one(2, (attempt, ageMs) -> ageMs >= 800 ? Outcome.OK : null));
        assertTrue(sentTo(sidecar, 2, from) > 0);
        assertTrue(sidecar.sent.stream().allMatch(attempt -> attempt.number == 0), "no copies");
    }

    @Test
    void slowServersGetFewerAttemptsAtATimeAndRecover() {
        RuleCheckingSidecar sidecar = oneOfEight(5);
        play(sidecar, 10_000, 10, (attempt, ageMs) -> ageMs >= 400 ? Outcome.OK : null);
        assertTrue(
                sidecar.inFlight().size() <= 10,
                "few out at slow servers: " + sidecar.inFlight().size());
        assertTrue(sidecar.refused > 0);
        play(sidecar, 20_000, 10, SOUND);
        int refused = sidecar.refused;
        play(sidecar, 5000, 10, SOUND);
        assertEquals(refused, sidecar.refused);
        assertTrue(sidecar.logs.stream().anyMatch(line -> line.matches("given up within .*ROOM=\\d+.*")));
    }

    @Test
    void overloadShedsRepeatsFirst() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(2);
        play(sidecar, 5000, 20, SOUND);
        List<Integer> first = new ArrayList<>();
        List<Integer> repeats = new ArrayList<>();
        for (int i = 0; i < 1500; i++) {
            for (int k = 0; k < 3; k++) {
                first.add(sidecar.request(0, 0, 4000, false));
                repeats.add(sidecar.request(0, 0, 4000, true));
            }
            sidecar.advance(20);
            List<RuleCheckingSidecar.SentAttempt> out = sidecar.inFlight();
            for (RuleCheckingSidecar.SentAttempt attempt :
                    out.subList(0, Math.min(3, out.size()))) { // three of the six that came
                sidecar.endAttempt(attempt, Outcome.OK);
            }
        }
        assertTrue(
                part(sidecar, first) > 2 * part(sidecar, repeats),
                part(sidecar, first) + ", " + part(sidecar, repeats));
    }

    @Test
    void aSparseSidecarShedsTheLeastWorthyWhenAttemptsAreLateAndAdmitsAllAgain() {
        // With two requests a second no window ever fills; only the lateness of all attempts shows a jam.
        Settings settings = Samples.settings(
                Samples.requestClass(Effect.SAFE, Group.ALL, 1), Samples.requestClass(Effect.SAFE, Group.ALL, 5));
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, 5);
        sidecar.listReady(10);
        play(sidecar, 10_000, 500, SOUND);
        int before = sidecar.refused;
        assertEquals(0, before);
        Fleet jammed = (attempt, ageMs) -> ageMs >= 900 ? Outcome.OK : null;
        play(sidecar, 15_000, 500, jammed);
        double from = sidecar.nowMs;
        play(sidecar, 30_000, 500, jammed);
        int[] sent = new int[2];
        sidecar.sent.stream()
                .filter(attempt -> attempt.sentMs > from && attempt.number == 0)
                .forEach(attempt -> sent[(attempt.request + 1) % 2]++);
        assertTrue(sent[0] + sent[1] < 30, "of 60 admitted: " + (sent[0] + sent[1]));
        assertTrue(sent[1] >= sent[0], sent[1] + " and " + sent[0]);
        play(sidecar, 25_000, 500, SOUND);
        int refused = sidecar.refused;
        play(sidecar, 10_000, 500, SOUND);
        assertEquals(refused, sidecar.refused, "all admitted again");
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void aFleetThatIsSlowForGoodIsUsedAgainInBoundedTime() {
        RuleCheckingSidecar sidecar = sidecar(5);
        Fleet slow = (attempt, ageMs) -> ageMs >= 200 ? Outcome.OK : null;
        play(sidecar, 60_000, 20, slow);
        int served = sidecar.served;
        play(sidecar, 5000, 20, slow);
        assertTrue(sidecar.served - served > 200, "of 250 served: " + (sidecar.served - served));
    }

    private static double part(RuleCheckingSidecar sidecar, List<Integer> requests) {
        return requests.stream()
                        .filter(id ->
                                sidecar.attemptsOf(id).stream().anyMatch(attempt -> attempt.outcome == Outcome.OK))
                        .count()
                / (double) requests.size();
    }

    @Test
    void theWorthierClassIsServedFirstUnderOverload() {
        Settings settings = Samples.settings(
                Samples.requestClass(Effect.SAFE, Group.ALL, 1), Samples.requestClass(Effect.SAFE, Group.ALL, 5));
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, 5);
        sidecar.listReady(2);
        play(sidecar, 5000, 20, SOUND);
        double from = sidecar.nowMs;
        play(sidecar, 10_000, 5, (attempt, ageMs) -> ageMs >= 150 ? Outcome.OK : null);
        int[] sent = new int[2];
        sidecar.sent.stream()
                .filter(attempt -> attempt.sentMs > from + 2000)
                .forEach(attempt -> sent[(attempt.request + 1) % 2]++);
        assertTrue(sent[1] > 2 * sent[0], sent[1] + " and " + sent[0]);
    }

    @Test
    void aColdServerGetsItsPartAndSidecarsTogetherStayInTheBudget() {
        List<RuleCheckingSidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Settings settings =
                    Samples.settings(3, LIMITS, false, List.of(), Samples.requestClass(Effect.SAFE, Group.ALL, 1));
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, i);
            sidecar.listReady(5);
            play(sidecar, 5000, 10, SOUND);
            sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(9, Status.READY, sidecar.nowMs - 100));
            sidecars.add(sidecar);
        }
        double from = sidecars.get(0).nowMs;
        double warmPerS = 0;
        double coldPerS = 0;
        for (RuleCheckingSidecar sidecar : sidecars) {
            play(sidecar, 2000, 10, SOUND);
            coldPerS += sentTo(sidecar, 9, from) / 2.0;
            warmPerS += sentTo(sidecar, 1, from) / 2.0;
        }
        // A quarter warm at the start, and the fleet far from full: about a third of a warm server's rate.
        assertTrue(coldPerS > 0.1 * warmPerS && coldPerS < 0.7 * warmPerS, coldPerS + " of " + warmPerS);
        for (RuleCheckingSidecar sidecar : sidecars) {
            play(sidecar, 20_000, 10, SOUND);
            assertTrue(sentTo(sidecar, 9, sidecar.nowMs - 3000) > 20, "warm now");
        }
    }

    @Test
    void aFirstTimeoutUnderTheTypicalLatencyLeavesTheSharesSound() {
        // The running median fell to zero, every share became NaN and nothing was sent ever after.
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(5);
        for (int i = 0; i < 3; i++) {
            sidecar.request(0, 0, 95, false);
            sidecar.advance(100);
        }
        sidecar.request(0);
        sidecar.advance(3000);
        int before = sidecar.sent.size();
        play(sidecar, 5000, 50, SOUND);
        assertTrue(sidecar.sent.size() - before >= 95, "sent: " + (sidecar.sent.size() - before));
    }

    @Test
    void sidecarsTogetherHeapNothingOnAColdServerWhenAllOthersFail() {
        // Forty-five sidecars that each had a token saved for it pushed it over when the others were full.
        double coldFrom = Samples.safe().contract().coldFrom();
        int sent = 0;
        int offered = 0;
        for (int i = 0; i < 45; i++) {
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                    Samples.settings(45, LIMITS, false, List.of(), Samples.requestClass(Effect.SAFE, Group.ALL, 1)), i);
            sidecar.listReady(9);
            play(sidecar, 5000, 50, SOUND);
            play(sidecar, 3000, 50, (attempt, ageMs) -> ageMs >= 20 ? Outcome.REJECTED : null);
            sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(10, Status.READY, sidecar.nowMs));
            double from = sidecar.nowMs;
            play(sidecar, 1000, 50, (attempt, ageMs) -> ageMs >= 20 ? Outcome.REJECTED : null);
            sent += (int) sentTo(sidecar, 10, from);
            offered += 20;
        }
        double part = sent / (offered / 10.0);
        assertTrue(part > 0 && part < 2 * coldFrom, "of its share: " + part);
    }

    /** Plays so many requests in each tick, more than there is room for. */
    private static void flood(RuleCheckingSidecar sidecar, double ms, int inTick, boolean repeats, Fleet fleet) {
        for (double until = sidecar.nowMs + ms; sidecar.nowMs < until; ) {
            for (int i = 0; i < inTick; i++) {
                sidecar.request(0, 0, 4000, repeats);
            }
            sidecar.advance(Samples.TICK_MS);
            for (RuleCheckingSidecar.SentAttempt attempt : sidecar.inFlight()) {
                Outcome outcome = fleet.answer(attempt, sidecar.nowMs - attempt.sentMs);
                if (outcome != null) {
                    sidecar.endAttempt(attempt, outcome);
                }
            }
        }
    }

    /** Answers in 50 ms; where more than four are out at one server, in so much more. */
    private static Fleet fourAtOnce(RuleCheckingSidecar sidecar) {
        return (attempt, ageMs) -> {
            long out = sidecar.inFlight().stream()
                    .filter(other -> other.upstream == attempt.upstream)
                    .count();
            return ageMs >= 50 * Math.max(1, out / 4.0) ? Outcome.OK : null;
        };
    }

    @Test
    void whatWarmServersHaveNoRoomForGoesToColdOnesAtTheRateThatIsWarmForCertain() {
        // After a release most of a fleet is young: repeats were refused by the hundred while its machines stood idle.
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(8);
        play(sidecar, 20_000, 5, fourAtOnce(sidecar));
        double from = sidecar.nowMs;
        for (int id = 1; id <= 6; id++) {
            sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(id, Status.READY, from));
        }
        Fleet fleet = fourAtOnce(sidecar);
        flood(sidecar, 4000, 2, true, fleet); // more than the two warm ones can carry
        double warmPerS = sentTo(sidecar, 7, from) / 4.0;
        Balancer.Contract contract = sidecar.settings.contract();
        double meanWarmth = contract.coldFrom() + (1 - contract.coldFrom()) * 2000 / contract.coldMs();
        for (int id = 1; id <= 6; id++) {
            double part = sentTo(sidecar, id, from) / 4.0 / warmPerS;
            assertTrue(part > 0.5 * meanWarmth, "upstream " + id + " was left idle: " + part);
            assertTrue(part < contract.overloadFactor() * meanWarmth, "upstream " + id + " is pushed over: " + part);
        }
    }

    @Test
    void aServerThatFailsAtOnceHasNoMoreRoomThanOneThatAnswers() {
        // Its window was free again at once: where the others were full it drew what they had no room for, and failed
        // it.
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(4);
        play(sidecar, 10_000, 5, fourAtOnce(sidecar));
        double from = sidecar.nowMs;
        int[] answers = {0};
        Fleet sound = fourAtOnce(sidecar);
        Fleet fleet = (attempt, ageMs) -> attempt.upstream != 1
                ? sound.answer(attempt, ageMs)
                : ageMs < 1 ? null : ++answers[0] % 3 == 0 ? Outcome.OK : Outcome.ERROR; // never three in a row
        flood(sidecar, 3000, 4, false, fleet);
        assertTrue(
                sentTo(sidecar, 1, from) < 1.5 * sentTo(sidecar, 2, from),
                sentTo(sidecar, 1, from) + " to the one that" + " fails, " + sentTo(sidecar, 2, from)
                        + " to one that answers");
    }

    @Test
    void anEmptyListHoldsThenRefusesAndServesWhenServersCome() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.updateList(ListKind.CACHED);
        int early = sidecar.request(0);
        int late = sidecar.request(0);
        sidecar.advance(400);
        assertFalse(sidecar.isCompleted(early));
        sidecar.advance(700);
        assertTrue(sidecar.isCompleted(early) && sidecar.isCompleted(late));
        int third = sidecar.request(0);
        sidecar.listReady(2);
        assertEquals(1, sidecar.attemptsOf(third).size());
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void whoFindsNoRoomWaitsForAMomentAndIsRefusedThen() {
        // The client has few connections: those that wait for an aim left none for requests that there was room for.
        RuleCheckingSidecar sidecar = sidecar(1);
        int request = sidecar.request(0);
        while (!sidecar.attemptsOf(request).isEmpty()) {
            request = sidecar.request(0);
        }
        sidecar.advance(20);
        assertFalse(sidecar.isCompleted(request), "room may come at once");
        sidecar.advance(180);
        assertTrue(sidecar.isCompleted(request), "long before its aim of a second");
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void aSubsetGrowsWhereItsMembersAreFull() {
        RuleCheckingSidecar sidecar = oneOfEight(14);
        assertEquals(
                10,
                sidecar.sent.stream()
                        .map(attempt -> attempt.upstream)
                        .distinct()
                        .count());
        play(sidecar, 10_000, 5, (attempt, ageMs) -> ageMs >= 400 ? Outcome.OK : null);
        assertTrue(sidecar.sent.stream()
                        .map(attempt -> attempt.upstream)
                        .distinct()
                        .count()
                > 12);
    }

    @Test
    void oneRequestInManySecondsIsServedAndLeavesNoTimers() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(3);
        for (int i = 0; i < 20; i++) {
            int request = sidecar.request(0);
            sidecar.advance(50);
            sidecar.endAttempt(sidecar.lastAttempt(), Outcome.OK);
            assertTrue(sidecar.isCompleted(request));
            sidecar.advance(30_000);
        }
        assertTrue(sidecar.actions.size() < 20 * 4, "idle sidecars set no timers: " + sidecar.actions.size());
    }

    @Test
    void anAskingSidecarSubscribesAndDoesSoAgainAtPacedRandomTimes() {
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < 20; seed++) {
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                    Samples.settings(20, LIMITS, true, List.of(), Samples.requestClass(Effect.SAFE, Group.ALL, 1)),
                    seed);
            assertEquals(1, sidecar.subscriptions);
            sidecar.updateList(ListKind.FAILED);
            sidecar.updateList(ListKind.FAILED);
            double from = sidecar.nowMs;
            while (sidecar.subscriptions == 1) {
                sidecar.advance(1);
            }
            delays.add(sidecar.nowMs - from);
            for (int i = 0; i < 10; i++) {
                sidecar.updateList(ListKind.FAILED);
                sidecar.advance(sidecar.settings.contract().askEveryMs() / 2);
            }
            assertEquals(12, sidecar.subscriptions, "asks again within half the time allowed");
        }
        assertTrue(delays.stream().distinct().count() > 10, "spread out: " + delays);
        assertTrue(delays.stream().allMatch(delay -> delay >= 100 && delay <= 400), "paced: " + delays);
    }

    @Test
    void aRestartedServerBeginsAnew() {
        long again = 0;
        long other = 0;
        for (int seed = 0; seed < 10; seed++) { // one second of one sidecar alone may be chance
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), seed);
            sidecar.listReady(3);
            play(sidecar, 5000, 10, SOUND);
            sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(1, Status.READY, sidecar.nowMs));
            double from = sidecar.nowMs;
            play(sidecar, 1000, 10, SOUND);
            again += sentTo(sidecar, 1, from);
            other += sentTo(sidecar, 2, from);
        }
        assertTrue(again < 0.7 * other, "cold again: " + again + " of " + other);
    }

    @Test
    void wrongArgumentsAreRejectedWithAMessage() {
        assertMessage("cold share", () -> new Balancer.Contract(0, 1, 1, 1, 1));
        assertMessage("at least one request class", () -> Samples.settings(new RequestClass[0]));
        assertMessage("at least one attempt", () -> new Limits(0, true, true, true, 0));
        assertMessage("weight", () -> new Balancer.Upstream(1, Status.READY, 0, 0, 0, 0, -1));
        assertMessage("status", () -> new Balancer.Upstream(1, null, 0, 0, 0, 0, 1));
    }

    private static void assertMessage(String part, Runnable call) {
        RuntimeException thrown = assertThrows(RuntimeException.class, call::run);
        assertTrue(thrown.getMessage().contains(part), thrown.getMessage());
    }
}
