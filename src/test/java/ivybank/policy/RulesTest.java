package ivybank.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.Limits;
import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.Settings;
import ivybank.policy.Balancer.Status;
import ivybank.policy.Balancer.Upstream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the rules against random events, for each effect, group and limit. */
class RulesTest {

    static Stream<Arguments> effectsAndLimits() {
        List<Arguments> arguments = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            for (Group group : effect == Effect.KEYED ? Group.values() : new Group[] {Group.ALL}) {
                for (boolean copies : new boolean[] {true, false}) {
                    for (boolean cancel : new boolean[] {true, false}) {
                        for (int attempts : new int[] {1, 4}) {
                            arguments.add(Arguments.of(effect, group, new Limits(attempts, copies, cancel, false, 0)));
                        }
                    }
                }
            }
        }
        return arguments.stream();
    }

    @ParameterizedTest
    @MethodSource("effectsAndLimits")
    void randomEventsViolateNoRule(Effect effect, Group group, Limits limits) {
        for (int seed = 0; seed < 8; seed++) {
            Settings settings =
                    Samples.settings(3, limits, seed % 2 == 0, List.of(), Samples.requestClass(effect, group, 1));
            RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, seed);
            sendRandomEvents(sidecar, new Random(seed), 1500);
            assertEquals(List.of(), sidecar.violations, "seed " + seed);
            assertEquals(0, sidecar.openRequests());
            assertTrue(sidecar.served > 0, "something was served");
        }
    }

    /** Generates random events: requests with long and short timeouts, all outcomes, lists, restarts and disconnects. */
    private static void sendRandomEvents(RuleCheckingSidecar sidecar, Random random, int events) {
        sidecar.updateList(ListKind.CACHED);
        sidecar.listReady(1 + random.nextInt(14));
        Outcome[] outcomes = Outcome.values();
        int newest = 0;
        for (int i = 0; i < events; i++) {
            List<RuleCheckingSidecar.SentAttempt> out = sidecar.inFlight();
            int percent = random.nextInt(100);
            if (percent < 35) {
                newest = sidecar.request(0, 0, random.nextInt(10) == 0 ? 5 + random.nextInt(200) : 4000, false);
            } else if (percent < 70 && !out.isEmpty()) {
                Outcome outcome = random.nextBoolean() ? Outcome.OK : outcomes[random.nextInt(outcomes.length)];
                sidecar.endAttempt(out.get(random.nextInt(out.size())), outcome);
            } else if (percent < 73) {
                Status[] statuses = Status.values();
                List<Upstream> entries = new ArrayList<>();
                for (int id = 1 + random.nextInt(3); id < 16; id += 1 + random.nextInt(5)) {
                    double startedMs = random.nextBoolean() ? 0 : sidecar.nowMs - random.nextInt(12_000);
                    entries.add(RuleCheckingSidecar.upstream(id, statuses[random.nextInt(3)], startedMs));
                }
                sidecar.updateList(
                        random.nextInt(4) == 0 ? ListKind.FULL : ListKind.DELTA, entries.toArray(new Upstream[0]));
            } else if (percent < 74) {
                sidecar.updateList(ListKind.FAILED);
            } else if (percent < 76 && newest > 0 && !sidecar.isCompleted(newest)) {
                sidecar.disconnectClient(newest);
            } else {
                sidecar.advance(random.nextInt(40));
            }
        }
        sidecar.advance(5000);
    }

    @Test
    void checkerDetectsEachViolation() {
        assertDetected("drain", Effect.SAFE, (sidecar, request) -> {
            sidecar.updateList(ListKind.DELTA, RuleCheckingSidecar.upstream(1, Status.DRAINING, 0));
            sidecar.send(request, 1, 100);
        });
        assertDetected("repeat", Effect.UNSAFE, (sidecar, request) -> {
            sidecar.send(request, 1, 100);
            sidecar.send(request, 2, 100);
        });
        assertDetected("repeat", Effect.UNSAFE, (sidecar, request) -> {
            sidecar.send(request, 1, 100);
            sidecar.refuse(request, 0);
        });
        assertDetected("repeat", Effect.KEYED, (sidecar, request) -> {
            sidecar.send(request, 1, 100);
            sidecar.send(request, 2, 100);
        });
        assertDetected("lost", Effect.SAFE, (sidecar, request) -> {
            sidecar.refuse(request, 0);
            sidecar.fail(request);
        });
        assertDetected("lost", Effect.SAFE, (sidecar, request) -> sidecar.advance(10_000));
    }

    private interface Violation {
        void commit(RuleCheckingSidecar sidecar, int request);
    }

    private static void assertDetected(String rule, Effect effect, Violation violation) {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                Samples.settings(Samples.requestClass(effect, Group.ZONE, 1)),
                1,
                (settings, seed, actions) -> new NoOpBalancer());
        sidecar.listReady(3);
        violation.commit(sidecar, sidecar.request(0));
        assertTrue(
                sidecar.violations.stream().anyMatch(message -> message.startsWith(rule)),
                rule + " not in " + sidecar.violations);
    }

    @Test
    void lateAndUnknownEventsAreIgnored() {
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 3);
        sidecar.listReady(3);
        int request = sidecar.request(0);
        RuleCheckingSidecar.SentAttempt attempt = sidecar.lastAttempt();
        sidecar.nowMs += 50;
        sidecar.endAttempt(attempt, Outcome.OK);
        int before = sidecar.actions.size();
        sidecar.endAttempt(attempt, Outcome.ERROR);
        sidecar.balancer.clientDisconnected(sidecar.nowMs, request);
        sidecar.balancer.clientDisconnected(sidecar.nowMs, 999);
        sidecar.balancer.attemptEnded(
                sidecar.nowMs, new Balancer.AttemptEnd(999, 0, 1, Outcome.OK, 1, true, new double[0]));
        sidecar.balancer.streamStarted(sidecar.nowMs, 999, 0, 1);
        sidecar.balancer.probeEnded(sidecar.nowMs, 999, Outcome.OK, 1, new double[0]);
        sidecar.balancer.peerMessage(sidecar.nowMs, 1, new byte[3]);
        sidecar.balancer.timer(sidecar.nowMs, 999);
        assertEquals(before, sidecar.actions.size());
    }

    @Test
    void keyedWindowStartsAtTheFirstAttemptEvenIfItDidNotRun() {
        // A second copy is in flight when the first attempt's connection fails
        // late. Guards against a third after the window.
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(
                Samples.settings(
                        new Balancer.RequestClass("keyed", 4000, 8000, 1, 0.5, Effect.KEYED, Group.ALL, 600, false)),
                3);
        sidecar.listReady(10);
        for (int i = 0; i < 300; i++) {
            sidecar.request(0);
            sidecar.advance(20);
            sidecar.inFlight().forEach(attempt -> sidecar.endAttempt(attempt, Outcome.OK));
        }
        int request = sidecar.request(0);
        RuleCheckingSidecar.SentAttempt first = sidecar.lastAttempt();
        for (int i = 0; i < 100 && sidecar.attemptsOf(request).size() == 1; i++) {
            sidecar.request(0);
            sidecar.advance(5);
            sidecar.inFlight().stream()
                    .filter(attempt -> attempt.upstream != first.upstream && attempt.request != request)
                    .toList()
                    .forEach(attempt -> sidecar.endAttempt(attempt, Outcome.OK));
        }
        assertEquals(2, sidecar.attemptsOf(request).size(), "a second copy was sent");
        sidecar.advance(first.sentMs + 650 - sidecar.nowMs);
        sidecar.endAttempt(first, Outcome.CONNECT_FAILED);
        sidecar.endAttempt(sidecar.attemptsOf(request).get(1), Outcome.ERROR);
        assertEquals(
                2, sidecar.attemptsOf(request).size(), "no third attempt after the window that began with the first");
    }

    @Test
    void requestWithLessTimeThanAControlIntervalIsAnsweredAtOnce() {
        // Guards against holding such a request for the next control tick and answering it late (incident id7bbad).
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(Samples.safe(), 3);
        int request = sidecar.request(0, 0, 30, false);
        assertTrue(sidecar.isCompleted(request));
        assertEquals(1, sidecar.refused);
    }

    @Test
    void startedStreamIsNeitherCancelledNorSentAgain() {
        Settings settings = Samples.settings(
                new Balancer.RequestClass("stream", 1000, 4000, 1, 0, Effect.SAFE, Group.ALL, 0, true));
        RuleCheckingSidecar sidecar = new RuleCheckingSidecar(settings, 3);
        sidecar.listReady(3);
        int request = sidecar.request(0);
        sidecar.nowMs += 100;
        sidecar.balancer.streamStarted(sidecar.nowMs, request, 0, 100);
        for (int i = 0; i < 50; i++) {
            sidecar.nowMs += 70;
            sidecar.balancer.timer(sidecar.nowMs, 1);
        }
        assertEquals(1, sidecar.attemptsOf(request).size());
        assertFalse(sidecar.actions.stream().anyMatch(action -> action.startsWith("cancel")));
    }

    @Test
    void sameEventsGiveTheSameActionsAndInstancesShareNothing() {
        RuleCheckingSidecar alone = new RuleCheckingSidecar(Samples.safe(), 11);
        sendRandomEvents(alone, new Random(5), 1000);
        RuleCheckingSidecar neighbour = new RuleCheckingSidecar(Samples.safe(), 12);
        sendRandomEvents(neighbour, new Random(6), 500);
        RuleCheckingSidecar again = new RuleCheckingSidecar(Samples.safe(), 11);
        sendRandomEvents(again, new Random(5), 1000);
        assertEquals(alone.actions, again.actions);
        assertFalse(alone.actions.equals(neighbour.actions));
    }
}
