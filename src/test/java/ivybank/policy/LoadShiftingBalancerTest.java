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

/** Tests each mechanism beside the weighted random draw: it acts under its condition, and it ends. */
class LoadShiftingBalancerTest {

    private static final Limits LIMITS = new Limits(4, true, true, false, 0);

    /** How upstreams behave: returns the outcome of an attempt of this age, or null while there is none. */
    private interface UpstreamBehaviour {
        Outcome outcome(RuleCheckingSidecar.SentAttempt attempt, double ageMs);
    }

    private static final UpstreamBehaviour HEALTHY = (attempt, ageMs) -> ageMs >= 50 ? Outcome.OK : null;

    /** Sends requests at a steady rate, alternating between the classes. */
    private static void sendRequests(
            RuleCheckingSidecar sidecar, double ms, double intervalMs, UpstreamBehaviour behaviour) {
        int classes = sidecar.settings.classes().size();
        double until = sidecar.nowMs + ms;
        for (int i = 0; sidecar.nowMs < until; i++) {
            sidecar.request(i % classes);
            for (double passed = 0; passed < intervalMs; passed += Samples.TICK_MS) {
                sidecar.advance(Samples.TICK_MS);
                for (RuleCheckingSidecar.SentAttempt attempt : sidecar.inFlight()) {
                    Outcome outcome = behaviour.outcome(attempt, sidecar.nowMs - attempt.sentMs);
                    if (outcome != null) {
                        sidecar.endAttempt(attempt, outcome);
                    }
                }
            }
        }
    }

    private static UpstreamBehaviour withFault(int upstream, UpstreamBehaviour faulty) {
        return (attempt, ageMs) -> (attempt.upstream == upstream ? faulty : HEALTHY).outcome(attempt, ageMs);
    }

    private static long sentTo(RuleCheckingSidecar sidecar, int upstream, double sinceMs) {
        return sidecar.sent.stream()
                .filter(attempt -> attempt.upstream == upstream && attempt.sentMs >= sinceMs)
                .count();
    }

    private static RuleCheckingSidecar sidecar(int upstreams) {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(upstreams);
        sendRequests(sidecar, 5000, 10, HEALTHY);
        return sidecar;
    }

    /** Returns one of eight sidecars, which may each have one attempt in flight at a slow node. */
    private static RuleCheckingSidecar oneOfEight(int upstreams) {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                Samples.settings(8, LIMITS, false, List.of(), Samples.requestClass(Effect.SAFE, Group.ALL, 1)), 5);
        sidecar.listReady(upstreams);
        sendRequests(sidecar, 5000, 10, HEALTHY);
        return sidecar;
    }

    private static void assertSetAsideAndReturns(UpstreamBehaviour faulty) {
        RuleCheckingSidecar sidecar = sidecar(5);
        sendRequests(sidecar, 1000, 10, withFault(2, faulty));
        double later = sidecar.nowMs;
        sendRequests(sidecar, 8000, 10, withFault(2, faulty));
        assertTrue(sentTo(sidecar, 2, later) <= 12, "only trials are sent: " + sentTo(sidecar, 2, later));
        assertTrue(sidecar.logs.stream().anyMatch(line -> line.startsWith("upstream 2 is set aside")));
        sendRequests(sidecar, 15_000, 10, HEALTHY);
        long last = sentTo(sidecar, 2, sidecar.nowMs - 5000);
        assertTrue(last > 10, "drawn again: " + last);
        assertTrue(sidecar.logs.stream().anyMatch(line -> line.startsWith("upstream 2 answers again")));
        assertTrue(sidecar.served > 0.95 * (sidecar.served + sidecar.refused + sidecar.failed));
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void silentNodeIsSetAsideAndReturns() {
        assertSetAsideAndReturns((attempt, ageMs) -> null);
    }

    @Test
    void nodeThatFailsAtOnceIsSetAsideAndReturns() {
        assertSetAsideAndReturns((attempt, ageMs) -> Outcome.ERROR);
    }

    @Test
    void unreachableNodeIsSetAsideAndReturns() {
        assertSetAsideAndReturns((attempt, ageMs) -> ageMs >= 100 ? Outcome.CONNECT_FAILED : null);
    }

    @Test
    void rejectingNodeIsSetAsideAndReturns() {
        assertSetAsideAndReturns((attempt, ageMs) -> Outcome.REJECTED);
    }

    @Test
    void unsafeRequestsAreNotUsedAsTrials() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                Samples.settings(
                        Samples.requestClass(Effect.UNSAFE, Group.ALL, 1),
                        Samples.requestClass(Effect.SAFE, Group.ALL, 1)),
                5);
        sidecar.listReady(5);
        sendRequests(sidecar, 5000, 10, HEALTHY);
        sendRequests(sidecar, 2000, 10, withFault(2, (attempt, ageMs) -> null));
        double later = sidecar.nowMs;
        sendRequests(sidecar, 5000, 10, withFault(2, (attempt, ageMs) -> null));
        assertTrue(
                sidecar.sent.stream()
                        .filter(attempt -> attempt.upstream == 2 && attempt.sentMs >= later)
                        .noneMatch(attempt -> attempt.request % 2 == 1),
                "requests with odd ids are unsafe");
        assertTrue(sentTo(sidecar, 2, later) > 0, "safe requests serve as trials");
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void nodeSetAsideReturnsWithoutASafeClass() {
        // Only safe requests serve as trials. Without a safe class, a node
        // that was set aside must not stay so for good.
        RuleCheckingSidecar sidecar =
                new RuleCheckingSidecar(Samples.settings(Samples.requestClass(Effect.UNSAFE, Group.ALL, 1)), 5);
        sidecar.listReady(5);
        sendRequests(sidecar, 5000, 10, HEALTHY);
        sendRequests(sidecar, 2000, 10, withFault(2, (attempt, ageMs) -> ageMs >= 100 ? Outcome.CONNECT_FAILED : null));
        double later = sidecar.nowMs;
        sendRequests(sidecar, 3000, 10, withFault(2, (attempt, ageMs) -> ageMs >= 100 ? Outcome.CONNECT_FAILED : null));
        assertTrue(sentTo(sidecar, 2, later) <= 10, "mostly not drawn");
        sendRequests(sidecar, 8000, 10, HEALTHY);
        assertTrue(
                sentTo(sidecar, 2, sidecar.nowMs - 3000) > 20,
                "drawn again: " + sentTo(sidecar, 2, sidecar.nowMs - 3000));
        assertEquals(List.of(), sidecar.violations);
    }

    /** Returns a sidecar that may probe nodes for the requests that they are working on. */
    private static RuleCheckingSidecar probing(double probeCost) {
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
                new Balancer.Goal(1, 0, 0, probeCost));
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, 5);
        sidecar.listReady(8);
        return sidecar;
    }

    @Test
    void requestGoesToTheLeastLoadedProbedMember() {
        RuleCheckingSidecar sidecar = probing(0.002);
        for (int round = 0; round < 20; round++) {
            int request = sidecar.request(0);
            assertTrue(sidecar.attemptsOf(request).isEmpty(), "the request waits for the probes");
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
    void requestIsNotSentToMembersTooLoadedToServeItInTime() {
        // Guards against sending more requests to members that already have more than they can serve within the aim.
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
    void unansweredProbesDelayARequestByAControlIntervalAtMost() {
        RuleCheckingSidecar sidecar = probing(0.002);
        int request = sidecar.request(0);
        sidecar.advance(130); // two control intervals, each a sixteenth of the aim
        assertEquals(1, sidecar.attemptsOf(request).size());
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void expensiveProbesAreNotSent() {
        RuleCheckingSidecar sidecar = probing(0.05);
        int request = sidecar.request(0);
        assertEquals(1, sidecar.attemptsOf(request).size());
        assertTrue(sidecar.probed.isEmpty());
    }

    @Test
    void nodesAreStillUsedWhenMostFail() {
        RuleCheckingSidecar sidecar = sidecar(5);
        sendRequests(sidecar, 10_000, 20, (attempt, ageMs) -> Outcome.ERROR);
        double from = sidecar.nowMs;
        sendRequests(sidecar, 3000, 20, HEALTHY);
        assertTrue(sidecar.sent.stream()
                        .filter(attempt -> attempt.sentMs >= from && attempt.outcome == Outcome.OK)
                        .count()
                > 20);
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void stalledAttemptIsHedgedOnlyWhereAllowed() {
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
            sendRequests(sidecar, 5000, 10, HEALTHY);
            double from = sidecar.nowMs;
            sendRequests(sidecar, 2000, 10, withFault(2, (attempt, ageMs) -> null));
            boolean copied = sidecar.sent.stream()
                    .anyMatch(attempt -> attempt.sentMs >= from && attempt.number > 0 && attempt.sentMs < from + 500);
            assertEquals(copies, copied);
            assertEquals(List.of(), sidecar.violations);
        }
    }

    @Test
    void sidecarWithLittleTrafficSendsNoHedges() {
        // At two requests a second a long request looks stalled; a second copy of it only costs work.
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(5);
        sendRequests(sidecar, 20_000, 500, HEALTHY);
        double from = sidecar.nowMs;
        sendRequests(sidecar, 20_000, 500, withFault(2, (attempt, ageMs) -> ageMs >= 800 ? Outcome.OK : null));
        assertTrue(sentTo(sidecar, 2, from) > 0);
        assertTrue(sidecar.sent.stream().allMatch(attempt -> attempt.number == 0), "no second copies");
    }

    @Test
    void concurrencyLimitsOfSlowNodesShrinkAndRecover() {
        RuleCheckingSidecar sidecar = oneOfEight(5);
        sendRequests(sidecar, 10_000, 10, (attempt, ageMs) -> ageMs >= 400 ? Outcome.OK : null);
        assertTrue(
                sidecar.inFlight().size() <= 10,
                "few attempts in flight at slow nodes: " + sidecar.inFlight().size());
        assertTrue(sidecar.refused > 0);
        sendRequests(sidecar, 20_000, 10, HEALTHY);
        int refused = sidecar.refused;
        sendRequests(sidecar, 5000, 10, HEALTHY);
        assertEquals(refused, sidecar.refused);
        assertTrue(sidecar.logs.stream().anyMatch(line -> line.matches("given up within .*ROOM=\\d+.*")));
    }

    @Test
    void overloadShedsClientRetriesFirst() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(2);
        sendRequests(sidecar, 5000, 20, HEALTHY);
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
                    out.subList(0, Math.min(3, out.size()))) { // half of the six that arrived
                sidecar.endAttempt(attempt, Outcome.OK);
            }
        }
        assertTrue(
                servedFraction(sidecar, first) > 2 * servedFraction(sidecar, repeats),
                servedFraction(sidecar, first) + ", " + servedFraction(sidecar, repeats));
    }

    @Test
    void sidecarWithLittleTrafficShedsTheLowestValueWhenAttemptsAreLateAndRecovers() {
        // With two requests a second no concurrency limit is reached; only the
        // lateness of all attempts shows the overload.
        Settings settings = Samples.settings(
                Samples.requestClass(Effect.SAFE, Group.ALL, 1), Samples.requestClass(Effect.SAFE, Group.ALL, 5));
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, 5);
        sidecar.listReady(10);
        sendRequests(sidecar, 10_000, 500, HEALTHY);
        int before = sidecar.refused;
        assertEquals(0, before);
        UpstreamBehaviour overloaded = (attempt, ageMs) -> ageMs >= 900 ? Outcome.OK : null;
        sendRequests(sidecar, 15_000, 500, overloaded);
        double from = sidecar.nowMs;
        sendRequests(sidecar, 30_000, 500, overloaded);
        int[] sent = new int[2];
        sidecar.sent.stream()
                .filter(attempt -> attempt.sentMs > from && attempt.number == 0)
                .forEach(attempt -> sent[(attempt.request + 1) % 2]++);
        assertTrue(sent[0] + sent[1] < 30, "of 60 admitted: " + (sent[0] + sent[1]));
        assertTrue(sent[1] >= sent[0], sent[1] + " and " + sent[0]);
        sendRequests(sidecar, 25_000, 500, HEALTHY);
        int refused = sidecar.refused;
        sendRequests(sidecar, 10_000, 500, HEALTHY);
        assertEquals(refused, sidecar.refused, "all admitted again");
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void permanentlySlowFleetIsUsedAgainInBoundedTime() {
        RuleCheckingSidecar sidecar = sidecar(5);
        UpstreamBehaviour slow = (attempt, ageMs) -> ageMs >= 200 ? Outcome.OK : null;
        sendRequests(sidecar, 60_000, 20, slow);
        int served = sidecar.served;
        sendRequests(sidecar, 5000, 20, slow);
        assertTrue(sidecar.served - served > 200, "of 250 served: " + (sidecar.served - served));
    }

    private static double servedFraction(RuleCheckingSidecar sidecar, List<Integer> requests) {
        return requests.stream()
                        .filter(id ->
                                sidecar.attemptsOf(id).stream().anyMatch(attempt -> attempt.outcome == Outcome.OK))
                        .count()
                / (double) requests.size();
    }

    @Test
    void classOfHigherWorthIsServedFirstUnderOverload() {
        Settings settings = Samples.settings(
                Samples.requestClass(Effect.SAFE, Group.ALL, 1), Samples.requestClass(Effect.SAFE, Group.ALL, 5));
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, 5);
        sidecar.listReady(2);
        sendRequests(sidecar, 5000, 20, HEALTHY);
        double from = sidecar.nowMs;
        sendRequests(sidecar, 10_000, 5, (attempt, ageMs) -> ageMs >= 150 ? Outcome.OK : null);
        int[] sent = new int[2];
        sidecar.sent.stream()
                .filter(attempt -> attempt.sentMs > from + 2000)
                .forEach(attempt -> sent[(attempt.request + 1) % 2]++);
        assertTrue(sent[1] > 2 * sent[0], sent[1] + " and " + sent[0]);
    }

    @Test
    void coldNodeGetsItsFractionAndSidecarsTogetherStayWithinIt() {
        List<RuleCheckingSidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Settings settings =
                    Samples.settings(3, LIMITS, false, List.of(), Samples.requestClass(Effect.SAFE, Group.ALL, 1));
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, i);
            sidecar.listReady(5);
            sendRequests(sidecar, 5000, 10, HEALTHY);
            sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(9, Status.READY, sidecar.nowMs - 100));
            sidecars.add(sidecar);
        }
        double from = sidecars.get(0).nowMs;
        double warmPerS = 0;
        double coldPerS = 0;
        for (RuleCheckingSidecar sidecar : sidecars) {
            sendRequests(sidecar, 2000, 10, HEALTHY);
            coldPerS += sentTo(sidecar, 9, from) / 2.0;
            warmPerS += sentTo(sidecar, 1, from) / 2.0;
        }
        // A cold node starts with a quarter of its capacity; with the fleet far
        // from full it gets about a third of the rate.
        assertTrue(coldPerS > 0.1 * warmPerS && coldPerS < 0.7 * warmPerS, coldPerS + " of " + warmPerS);
        for (RuleCheckingSidecar sidecar : sidecars) {
            sendRequests(sidecar, 20_000, 10, HEALTHY);
            assertTrue(sentTo(sidecar, 9, sidecar.nowMs - 3000) > 20, "the node is warm");
        }
    }

    @Test
    void firstTimeoutBelowTheTypicalLatencyKeepsSharesValid() {
        // Guards against a running median of zero, which makes every share NaN, so that nothing is sent any more.
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(5);
        for (int i = 0; i < 3; i++) {
            sidecar.request(0, 0, 95, false);
            sidecar.advance(100);
        }
        sidecar.request(0);
        sidecar.advance(3000);
        int before = sidecar.sent.size();
        sendRequests(sidecar, 5000, 50, HEALTHY);
        assertTrue(sidecar.sent.size() - before >= 95, "sent: " + (sidecar.sent.size() - before));
    }

    @Test
    void coldNodeIsNotOverloadedWhenAllOthersFail() {
        // Guards against 45 sidecars that each have a saved token for a cold
        // node and overload it once the others are full.
        double coldFrom = Samples.safe().contract().coldFrom();
        int sent = 0;
        int offered = 0;
        for (int i = 0; i < 45; i++) {
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                    Samples.settings(45, LIMITS, false, List.of(), Samples.requestClass(Effect.SAFE, Group.ALL, 1)), i);
            sidecar.listReady(9);
            sendRequests(sidecar, 5000, 50, HEALTHY);
            sendRequests(sidecar, 3000, 50, (attempt, ageMs) -> ageMs >= 20 ? Outcome.REJECTED : null);
            sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(10, Status.READY, sidecar.nowMs));
            double from = sidecar.nowMs;
            sendRequests(sidecar, 1000, 50, (attempt, ageMs) -> ageMs >= 20 ? Outcome.REJECTED : null);
            sent += (int) sentTo(sidecar, 10, from);
            offered += 20;
        }
        double part = sent / (offered / 10.0);
        assertTrue(part > 0 && part < 2 * coldFrom, "fraction of its share: " + part);
    }

    /** Sends {@code requestsPerTick} requests in each tick, more than there is capacity for. */
    private static void flood(
            RuleCheckingSidecar sidecar,
            double ms,
            int requestsPerTick,
            boolean clientRetries,
            UpstreamBehaviour behaviour) {
        for (double until = sidecar.nowMs + ms; sidecar.nowMs < until; ) {
            for (int i = 0; i < requestsPerTick; i++) {
                sidecar.request(0, 0, 4000, clientRetries);
            }
            sidecar.advance(Samples.TICK_MS);
            for (RuleCheckingSidecar.SentAttempt attempt : sidecar.inFlight()) {
                Outcome outcome = behaviour.outcome(attempt, sidecar.nowMs - attempt.sentMs);
                if (outcome != null) {
                    sidecar.endAttempt(attempt, outcome);
                }
            }
        }
    }

    /** Answers in 50 ms, and more slowly in proportion if more than four attempts are in flight at a node. */
    private static UpstreamBehaviour capacityOfFour(RuleCheckingSidecar sidecar) {
        return (attempt, ageMs) -> {
            long out = sidecar.inFlight().stream()
                    .filter(other -> other.upstream == attempt.upstream)
                    .count();
            return ageMs >= 50 * Math.max(1, out / 4.0) ? Outcome.OK : null;
        };
    }

    @Test
    void excessOverWarmCapacityGoesToColdNodesAtTheirWarmRate() {
        // After a rolling release most nodes are cold. Guards against refusing
        // retries by the hundred while nodes are idle.
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(8);
        sendRequests(sidecar, 20_000, 5, capacityOfFour(sidecar));
        double from = sidecar.nowMs;
        for (int id = 1; id <= 6; id++) {
            sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(id, Status.READY, from));
        }
        UpstreamBehaviour behaviour = capacityOfFour(sidecar);
        flood(sidecar, 4000, 2, true, behaviour); // more than the two warm nodes can serve
        double warmPerS = sentTo(sidecar, 7, from) / 4.0;
        Balancer.Contract contract = sidecar.settings.contract();
        double meanWarmFraction = contract.coldFrom() + (1 - contract.coldFrom()) * 2000 / contract.coldMs();
        for (int id = 1; id <= 6; id++) {
            double part = sentTo(sidecar, id, from) / 4.0 / warmPerS;
            assertTrue(part > 0.5 * meanWarmFraction, "upstream " + id + " is left idle: " + part);
            assertTrue(
                    part < contract.overloadFactor() * meanWarmFraction, "upstream " + id + " is overloaded: " + part);
        }
    }

    @Test
    void nodeThatFailsAtOnceGetsNoMoreThanOneThatAnswers() {
        // Guards against a limit that a failure frees at once: while the others are full, the failing node
        // then attracts the requests that they have no capacity for, and fails them.
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(4);
        sendRequests(sidecar, 10_000, 5, capacityOfFour(sidecar));
        double from = sidecar.nowMs;
        int[] answers = {0};
        UpstreamBehaviour healthy = capacityOfFour(sidecar);
        UpstreamBehaviour behaviour = (attempt, ageMs) -> attempt.upstream != 1
                ? healthy.outcome(attempt, ageMs)
                : ageMs < 1
                        ? null
                        : ++answers[0] % 3 == 0 ? Outcome.OK : Outcome.ERROR; // never three failures in a row
        flood(sidecar, 3000, 4, false, behaviour);
        assertTrue(
                sentTo(sidecar, 1, from) < 1.5 * sentTo(sidecar, 2, from),
                sentTo(sidecar, 1, from) + " to the one that" + " fails, " + sentTo(sidecar, 2, from)
                        + " to one that answers");
    }

    @Test
    void requestsWaitOnAnEmptyListAndAreServedOnceNodesAreListed() {
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
    void requestWithoutFreeCapacityWaitsBrieflyAndIsThenRefused() {
        // A client has few connections: requests that wait for a whole aim leave none for those that could be served.
        RuleCheckingSidecar sidecar = sidecar(1);
        int request = sidecar.request(0);
        while (!sidecar.attemptsOf(request).isEmpty()) {
            request = sidecar.request(0);
        }
        sidecar.advance(20);
        assertFalse(sidecar.isCompleted(request), "capacity may be free soon");
        sidecar.advance(180);
        assertTrue(sidecar.isCompleted(request), "long before its aim of a second");
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void subsetGrowsWhenItsMembersAreFull() {
        RuleCheckingSidecar sidecar = oneOfEight(14);
        assertEquals(
                10,
                sidecar.sent.stream()
                        .map(attempt -> attempt.upstream)
                        .distinct()
                        .count());
        sendRequests(sidecar, 10_000, 5, (attempt, ageMs) -> ageMs >= 400 ? Outcome.OK : null);
        assertTrue(sidecar.sent.stream()
                        .map(attempt -> attempt.upstream)
                        .distinct()
                        .count()
                > 12);
    }

    @Test
    void rareRequestsAreServedAndLeaveNoTimers() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 5);
        sidecar.listReady(3);
        for (int i = 0; i < 20; i++) {
            int request = sidecar.request(0);
            sidecar.advance(50);
            sidecar.endAttempt(sidecar.lastAttempt(), Outcome.OK);
            assertTrue(sidecar.isCompleted(request));
            sidecar.advance(30_000);
        }
        assertTrue(sidecar.actions.size() < 20 * 4, "an idle sidecar sets no timers: " + sidecar.actions.size());
    }

    @Test
    void failedSubscriptionIsRetriedWithBackoffAndJitter() {
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
            assertEquals(12, sidecar.subscriptions, "subscribes again within half the time allowed");
        }
        assertTrue(delays.stream().distinct().count() > 10, "random: " + delays);
        assertTrue(delays.stream().allMatch(delay -> delay >= 100 && delay <= 400), "within bounds: " + delays);
    }

    @Test
    void restartedNodeStartsCold() {
        long again = 0;
        long other = 0;
        for (int seed = 0; seed < 10; seed++) { // a second of a single sidecar may be chance
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), seed);
            sidecar.listReady(3);
            sendRequests(sidecar, 5000, 10, HEALTHY);
            sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(1, Status.READY, sidecar.nowMs));
            double from = sidecar.nowMs;
            sendRequests(sidecar, 1000, 10, HEALTHY);
            again += sentTo(sidecar, 1, from);
            other += sentTo(sidecar, 2, from);
        }
        assertTrue(again < 0.7 * other, "cold again: " + again + " of " + other);
    }

    @Test
    void invalidArgumentsAreRejectedWithAMessage() {
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
