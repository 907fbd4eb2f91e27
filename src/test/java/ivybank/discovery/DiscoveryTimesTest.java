package ivybank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.testing.SetClockAgent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how soon updates arrive, with the longest draw of each pause, on a simulated clock and real sockets. */
@Timeout(60)
class DiscoveryTimesTest {

    private static final String LIST =
            "{\"seq\":%d,\"whole\":true,\"hosts\":[{\"host\":\"b\",\"dial\":\"127.0.0.1:1\",\"health\":\"%s\"}]}";

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<NodeListUpdate> received = new ArrayList<>();
    private final List<String> requests = new ArrayList<>();
    private double receivedMs = Double.NaN;
    private int seq = 7;
    private boolean down;
    private SetClockAgent agent;

    @AfterEach
    void close() throws IOException {
        if (agent != null) {
            agent.close();
        }
    }

    private static String list(int seq, String health) {
        return LIST.formatted(seq, health);
    }

    private Discovery follow(SetClockAgent.Answers answers, Timing timing) throws IOException {
        agent = new SetClockAgent((call, head) -> {
            requests.add(head.substring(0, head.indexOf(" HTTP")));
            answers.called(call, head);
        });
        Clock clock = new Clock(0, () -> (long) (agent.nowMs() * 1e6));
        Discovery discovery = new Discovery(
                agent.loop(),
                new Bootstrap().channelFactory(() -> agent.channel()),
                agent.address(),
                () -> null,
                -1,
                timing,
                () -> 1,
                update -> {
                    received.add(update);
                    receivedMs = agent.nowMs();
                },
                clock,
                new Log(new PrintStream(log, true), clock));
        discovery.start();
        agent.settle();
        return discovery;
    }

    /** Answers calls while discovery is up; watches fall silent after their first line. */
    private void answer(SetClockAgent.Call call, String head) throws IOException {
        if (down) {
            return; // the call hangs, even after discovery is back
        }
        if (head.contains("stream=1")) {
            call.watch();
            call.piece(head.contains("index=" + seq + " ") ? "\n" : list(seq, "Terminating") + "\n");
        } else {
            call.list(list(seq, seq == 7 ? "Ready" : "Terminating"));
        }
    }

    @Test
    void theSumsOfTheTimeoutsFitTheReportLimits() {
        for (double graceMs : new double[] {50, 200, 350, 500, 1500, 5000}) {
            Timing pushed = Timing.standard(false, graceMs);
            assertTrue(pushed.maxSilenceMs() + pushed.firstAnswerMs() < Timing.SILENCE_LIMIT_MS, pushed.toString());
            assertTrue(graceMs < 200 || pushed.maxCallAfterOutageMs() <= 0.6 * graceMs, pushed.toString());
            Timing asked = Timing.standard(true, graceMs);
            assertEquals(Timing.standard(true, 500), asked);
            // Calls that queue have 2 s more from the end of their wait.
            assertTrue(asked.longestPauseMs() < Timing.QUEUED_CALL_REPORT_LIMIT_MS, asked.toString());
            for (Timing each : List.of(pushed, asked)) {
                assertTrue(each.maxReportAfterFailureMs() < Timing.FAILURE_REPORT_LIMIT_MS, each.toString());
            }
            assertTrue(asked.maxSilenceMs() < Timing.SILENCE_LIMIT_MS, asked.toString());
        }
    }

    /** The fate of calls that start while discovery is down, including the one under way when it comes back. */
    private enum Failure {
        HANGS,
        ENDS_WITH_503,
        IS_RESET,
        ENDS_WITHOUT_DATA
    }

    private void fail(SetClockAgent.Call call, String head, Failure failure) throws IOException {
        switch (failure) {
            case HANGS -> {}
            case ENDS_WITH_503 -> call.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            case IS_RESET -> call.close();
            case ENDS_WITHOUT_DATA -> {
                if (head.contains("stream=1")) {
                    call.watch();
                    call.write("0\r\n\r\n");
                } else {
                    call.close();
                }
            }
        }
    }

    /**
     * Discovery comes back right after the start of a call that still fails, after the longest pause. Connections come up at once
     * here, so their timeout is added.
     */
    @ParameterizedTest
    @CsvSource({"false, 200", "false, 500", "false, 60000", "true, 500"})
    void aChangeIsReportedInTimeWhateverBecomesOfEarlierCalls(boolean shared, double graceMs) throws Exception {
        Timing timing = Timing.standard(shared, graceMs);
        double waitMs = shared ? timing.maxAnswerWaitMs() : 0;
        for (Failure failure : Failure.values()) {
            List<Double> callStarts = new ArrayList<>();
            SortedMap<Double, Answer> due = new TreeMap<>();
            followThroughFailures(failure, timing, waitMs, callStarts, due);
            assertReportedInTimeAfterFailures(failure, timing, callStarts, due);
        }
    }

    /** Follows an agent whose calls fail while it is down; records call starts and the answers still due. */
    private void followThroughFailures(
            Failure failure, Timing timing, double waitMs, List<Double> callStarts, SortedMap<Double, Answer> due)
            throws Exception {
        received.clear();
        seq = 7;
        down = false;
        follow(
                (call, head) -> {
                    callStarts.add(agent.nowMs());
                    boolean fails = down;
                    Answer answer = () -> {
                        if (fails) {
                            fail(call, head, failure);
                        } else {
                            answer(call, head);
                        }
                    };
                    if (waitMs == 0 || callStarts.size() <= 2) {
                        answer.give();
                    } else {
                        due.put(agent.nowMs() + waitMs, answer);
                    }
                },
                timing);
    }

    private void assertReportedInTimeAfterFailures(
            Failure failure, Timing timing, List<Double> callStarts, SortedMap<Double, Answer> due) throws Exception {
        down = true;
        agent.calls.get(agent.calls.size() - 1).close();
        for (int calls = 0; calls < 10; calls = callStarts.size()) {
            step(due);
        }
        int before = callStarts.size();
        while (callStarts.size() == before) {
            step(due);
        }
        double pauseMs = callStarts.get(before) - callStarts.get(before - 1);
        assertTrue(pauseMs >= timing.longestPauseMs(), "the pauses have grown to their maximum");
        seq = 8;
        down = false;
        double backMs = agent.nowMs();
        while (received.size() < 2 && agent.nowMs() - backMs < 2 * Timing.FAILURE_REPORT_LIMIT_MS) {
            step(due);
        }
        double tookMs = receivedMs - backMs + 2 * timing.connectMs();
        assertEquals(8, received.get(received.size() - 1).seq(), failure.toString());
        assertTrue(tookMs <= timing.maxReportAfterFailureMs() + 10, failure + ": " + tookMs + " of " + timing);
        assertTrue(tookMs < Timing.FAILURE_REPORT_LIMIT_MS, failure + ": " + tookMs + " ms");
        agent.close();
    }

    private interface Answer {
        void give() throws IOException;
    }

    private void step(SortedMap<Double, Answer> due) throws IOException {
        agent.advance(5);
        while (!due.isEmpty() && due.firstKey() <= agent.nowMs()) {
            due.remove(due.firstKey()).give();
            agent.settle();
        }
    }

    @Test
    void whatASilentWatchMissesIsRequestedInTime() throws Exception {
        Timing timing = Timing.standard(false, 500);
        follow(this::answer, timing);
        assertEquals(1, received.size());
        seq = 8; // the watch is silent from now on, so this update is missed
        agent.advance(timing.maxSilenceMs() - timing.connectMs() + 10);
        assertEquals(2, received.size());
        assertTrue(receivedMs < Timing.SILENCE_LIMIT_MS, "after " + receivedMs);
        assertEquals("GET /registry/instances", requests.get(2), "the whole list, which reports the change at once");
    }

    @Test
    void missedChangesAreRequestedInTimeWhereTheNextWatchIsSilentAsWell() throws Exception {
        for (boolean shared : new boolean[] {false, true}) {
            requests.clear();
            received.clear();
            seq = 7;
            Timing timing = Timing.standard(shared, 500);
            follow(
                    (call, head) -> {
                        if (head.contains("stream=1")) {
                            call.watch(); // no data follows, whatever changes
                        } else {
                            answer(call, head);
                        }
                    },
                    timing);
            double startMs = agent.nowMs();
            seq = 8;
            agent.advance(6000);
            assertEquals(8, received.get(1).seq());
            assertTrue(
                    receivedMs - startMs <= timing.maxSilenceMs() + 10
                            && receivedMs - startMs < Timing.SILENCE_LIMIT_MS,
                    shared + ": after " + receivedMs);
            agent.close();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {" ", "{\"seq\":8,", "\t", "  {"})
    void incompleteDataIsNoSignOfLife(String begin) throws Exception {
        Timing timing = Timing.standard(false, 500);
        follow(this::answer, timing);
        SetClockAgent.Call watch = agent.calls.get(0);
        seq = 8;
        watch.piece(begin);
        for (int i = 0; i < 30 && watch.open(); i++) {
            agent.advance(200);
            watch.piece(begin.startsWith("{") ? "\n" : " "); // never a line, never a complete value
        }
        assertEquals(8, received.get(received.size() - 1).seq());
        assertTrue(receivedMs <= timing.maxSilenceMs() + 10, "after " + receivedMs);
    }

    @Test
    void emptyLinesAreASignOfLifeAndResetThePause() throws Exception {
        Timing timing = Timing.standard(true, 500); // its pauses grow longest
        follow(this::answer, timing);
        down = true;
        agent.calls.get(0).close();
        agent.advance(20_000);
        down = false;
        int hanging = agent.calls.size();
        while (agent.calls.size() == hanging) {
            agent.advance(100);
        }
        SetClockAgent.Call watch = agent.calls.get(hanging);
        for (int i = 0; i < 5; i++) {
            watch.piece("\n");
            agent.advance(2000);
        }
        assertTrue(watch.open(), "it has been alive");
        assertTrue(
                log.toString(StandardCharsets.UTF_8).contains("answers again"), log.toString(StandardCharsets.UTF_8));
        int before = agent.calls.size();
        watch.close();
        agent.advance(60);
        assertEquals(before + 1, agent.calls.size(), "called again after the initial pause");
    }

    /**
     * What the agent receives when discovery is back counts as reported at once, and drains have no more than their grace.
     */
    @ParameterizedTest
    @ValueSource(doubles = {350, 500, 1500})
    void afterAnOutageTheListArrivesWithinTheGraceOfADrain(double graceMs) throws Exception {
        Timing timing = Timing.standard(false, graceMs);
        double worstMs = 0;
        for (int phase = 0; phase < timing.maxCallAfterOutageMs(); phase += 35) {
            requests.clear();
            received.clear();
            down = false;
            seq = 7;
            follow(this::answer, timing);
            down = true;
            agent.calls.get(0).close();
            agent.advance(8000 + phase);
            int hanging = received.size();
            assertEquals(1, hanging);
            seq = 8;
            down = false;
            double backMs = agent.nowMs();
            agent.advance(graceMs);
            assertEquals(2, received.size(), "within the grace, at phase " + phase);
            worstMs = Math.max(worstMs, receivedMs - backMs);
            agent.close();
        }
        assertTrue(worstMs <= timing.maxCallAfterOutageMs() + 10, worstMs + " of " + timing.maxCallAfterOutageMs());
        assertTrue(worstMs <= 0.65 * graceMs, "the rest is left for the list: " + worstMs);
    }

    @Test
    void aListMayArriveIndentedAndSplitAnywhere() throws Exception {
        follow(this::answer, Timing.standard(false, 500));
        SetClockAgent.Call watch = agent.calls.get(0);
        String indented =
                "\n{\n  \"seq\": %d,\r\n\t\"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"b\",\n\n"
                        + "      \"dial\": \"127.0.0.1:1\",\n      \"health\": \"Terminating\"\n    }\n  ]\n}\n\n";
        for (int cut = 1; cut < indented.length(); cut++) {
            String next = indented.formatted(100 + cut);
            watch.piece(next.substring(0, cut));
            agent.settle();
            watch.piece(next.substring(cut));
            agent.settle();
            assertEquals(100 + cut, received.get(received.size() - 1).seq(), "cut at " + cut);
        }
        watch.piece(indented.formatted(900) + indented.formatted(901)
                + "{\"seq\":902,\"hosts\":[]}{\"seq\":903,\"hosts\":[]}");
        agent.settle();
        assertEquals(903, received.get(received.size() - 1).seq(), "several values in one piece, with no separator");
        assertTrue(watch.open());
        assertEquals(2, requests.size(), "only one list and one watch were requested");
    }

    @Test
    void malformedDataIsLoggedOnceWithItsOffsetAndTheWholeListIsRequestedAgain() throws Exception {
        follow(this::answer, Timing.standard(false, 500));
        SetClockAgent.Call watch = agent.calls.get(0);
        watch.piece("{\"seq\":8,\"whole\":false,\"hosts\":[}\n");
        agent.settle();
        assertFalse(watch.open());
        agent.advance(60);
        assertEquals("GET /registry/instances", requests.get(2));
        String line = log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(each -> each.contains("can't be read"))
                .findFirst()
                .orElse("");
        assertTrue(
                line.contains("the watch from version 7, at byte ")
                        && line.contains("going on with the list of version 7"),
                log.toString(StandardCharsets.UTF_8));
    }

    @Test
    void anOlderWholeListIsHandledAsOneFromElsewhere() throws Exception {
        follow(this::answer, Timing.standard(false, 500));
        SetClockAgent.Call watch = agent.calls.get(0);
        watch.piece("{\"seq\":12,\"whole\":false,\"hosts\":[]}\n");
        agent.settle();
        watch.piece("oops");
        agent.advance(60); // the list on the new call is still that of version 7
        NodeListUpdate older = received.get(received.size() - 1);
        assertEquals(7, older.seq());
        assertTrue(older.fromElsewhere(), "it must not undo a drain of the same process");
        SetClockAgent.Call second = agent.calls.get(1);
        second.piece(list(5, "Ready"));
        agent.settle();
        assertTrue(received.get(received.size() - 1).fromElsewhere(), "also within one watch");
    }

    @Test
    void firstCallCompletedIsReportedOnceWithTheListOrTheEndOfTheFirstCall() throws Exception {
        int[] calls = {0};
        down = true;
        follow(this::answer, Timing.standard(false, 500)).onFirstCallCompleted(() -> calls[0]++);
        agent.advance(100);
        assertEquals(0, calls[0], "the agent has been called and may still answer");
        agent.advance(100);
        assertEquals(1, calls[0], "it has not answered in time");
        down = false;
        agent.advance(1000);
        assertEquals(1, calls[0]);
        assertEquals(1, received.size());
    }
}
