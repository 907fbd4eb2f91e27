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

/** How soon a sidecar knows what discovery has to tell, in the worst draw of each pause, on a set clock and real sockets. */
@Timeout(60)
class DiscoveryTimesTest {

    private static final String LIST =
            "{\"seq\":%d,\"whole\":true,\"hosts\":[{\"host\":\"b\",\"dial\":\"127.0.0.1:1\",\"health\":\"%s\"}]}";

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<HostUpdate> heard = new ArrayList<>();
    private final List<String> asked = new ArrayList<>();
    private double heardMs = Double.NaN;
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
            asked.add(head.substring(0, head.indexOf(" HTTP")));
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
                    heard.add(update);
                    heardMs = agent.nowMs();
                },
                clock,
                new Log(new PrintStream(log, true), clock));
        discovery.start();
        agent.settle();
        return discovery;
    }

    /** A discovery that answers calls while it is up, and whose watches fall silent after their first line. */
    private void answer(SetClockAgent.Call call, String head) throws IOException {
        if (down) {
            return; // the call hangs, also when discovery is back
        }
        if (head.contains("stream=1")) {
            call.watch();
            call.piece(head.contains("index=" + seq + " ") ? "\n" : list(seq, "Terminating") + "\n");
        } else {
            call.list(list(seq, seq == 7 ? "Ready" : "Terminating"));
        }
    }

    @Test
    void theSumsFitThePagesClock() {
        for (double graceMs : new double[] {50, 200, 350, 500, 1500, 5000}) {
            Timing pushed = Timing.standard(false, graceMs);
            assertTrue(pushed.silenceEndsMs() + pushed.firstAnswerMs() < Timing.SILENCE_COUNTS_MS, pushed.toString());
            assertTrue(graceMs < 200 || pushed.returnMs() <= 0.6 * graceMs, pushed.toString());
            Timing asked = Timing.standard(true, graceMs);
            assertEquals(Timing.standard(true, 500), asked);
            // Those that wait have 2 s more from the end of their wait.
            assertTrue(asked.longestPauseMs() < Timing.WAIT_COUNTS_MS, asked.toString());
            for (Timing each : List.of(pushed, asked)) {
                assertTrue(each.toldAfterFailedCallMs() < Timing.TOLD_AFTER_FAILED_CALL_MS, each.toString());
            }
            assertTrue(asked.silenceEndsMs() < Timing.SILENCE_COUNTS_MS, asked.toString());
        }
    }

    /** What becomes of the calls while discovery is down, and of the one at hand when it comes back. */
    private enum Failure {
        HANGS,
        ENDS_WITH_503,
        IS_RESET,
        ENDS_WITHOUT_A_WORD
    }

    private void fail(SetClockAgent.Call call, String head, Failure failure) throws IOException {
        switch (failure) {
            case HANGS -> {}
            case ENDS_WITH_503 -> call.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            case IS_RESET -> call.close();
            case ENDS_WITHOUT_A_WORD -> {
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
     * The worst moment for discovery to come back: a call has just begun that still fails, after the longest pause. Connections
     * come up at once here; what they may take is added.
     */
    @ParameterizedTest
    @CsvSource({"false, 200", "false, 500", "false, 60000", "true, 500"})
    void whateverBecomesOfACallAChangeIsToldInTime(boolean service, double graceMs) throws Exception {
        Timing timing = Timing.standard(service, graceMs);
        double waitMs = service ? timing.longestWaitMs() : 0;
        for (Failure failure : Failure.values()) {
            List<Double> begun = new ArrayList<>();
            SortedMap<Double, Answer> due = new TreeMap<>();
            followThroughFailures(failure, timing, waitMs, begun, due);
            assertToldInTimeAfterFailures(failure, timing, begun, due);
        }
    }

    /** Follows an agent whose calls fail in this way while it is down; notes when each began, and what is still to be answered. */
    private void followThroughFailures(
            Failure failure, Timing timing, double waitMs, List<Double> begun, SortedMap<Double, Answer> due)
            throws Exception {
        heard.clear();
        seq = 7;
        down = false;
        follow(
                (call, head) -> {
                    begun.add(agent.nowMs());
                    boolean fails = down;
                    Answer answer = () -> {
                        if (fails) {
                            fail(call, head, failure);
                        } else {
                            answer(call, head);
                        }
                    };
                    if (waitMs == 0 || begun.size() <= 2) {
                        answer.give();
                    } else {
                        due.put(agent.nowMs() + waitMs, answer);
                    }
                },
                timing);
    }

    private void assertToldInTimeAfterFailures(
            Failure failure, Timing timing, List<Double> begun, SortedMap<Double, Answer> due) throws Exception {
        down = true;
        agent.calls.get(agent.calls.size() - 1).close();
        for (int calls = 0; calls < 10; calls = begun.size()) {
            step(due);
        }
        int before = begun.size();
        while (begun.size() == before) {
            step(due);
        }
        double pauseMs = begun.get(before) - begun.get(before - 1);
        assertTrue(pauseMs >= timing.longestPauseMs(), "its pauses have grown");
        seq = 8;
        down = false;
        double backMs = agent.nowMs();
        while (heard.size() < 2 && agent.nowMs() - backMs < 2 * Timing.TOLD_AFTER_FAILED_CALL_MS) {
            step(due);
        }
        double tookMs = heardMs - backMs + 2 * timing.connectMs();
        assertEquals(8, heard.get(heard.size() - 1).seq(), failure.toString());
        assertTrue(tookMs <= timing.toldAfterFailedCallMs() + 10, failure + ": " + tookMs + " of " + timing);
        assertTrue(tookMs < Timing.TOLD_AFTER_FAILED_CALL_MS, failure + ": " + tookMs + " ms");
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
    void whatASilentWatchMissesIsAskedForInTime() throws Exception {
        Timing timing = Timing.standard(false, 500);
        follow(this::answer, timing);
        assertEquals(1, heard.size());
        seq = 8; // from now on the watch is silent, and this is missed
        agent.advance(timing.silenceEndsMs() - timing.connectMs() + 10);
        assertEquals(2, heard.size());
        assertTrue(heardMs < Timing.SILENCE_COUNTS_MS, "after " + heardMs);
        assertEquals("GET /registry/instances", asked.get(2), "the whole list, which tells at once");
    }

    @Test
    void alsoWhereTheNextWatchIsSilentAsWell() throws Exception {
        for (boolean service : new boolean[] {false, true}) {
            asked.clear();
            heard.clear();
            seq = 7;
            Timing timing = Timing.standard(service, 500);
            follow(
                    (call, head) -> {
                        if (head.contains("stream=1")) {
                            call.watch(); // and nothing more, whatever there is to tell
                        } else {
                            answer(call, head);
                        }
                    },
                    timing);
            double fromMs = agent.nowMs();
            seq = 8;
            agent.advance(6000);
            assertEquals(8, heard.get(1).seq());
            assertTrue(
                    heardMs - fromMs <= timing.silenceEndsMs() + 10 && heardMs - fromMs < Timing.SILENCE_COUNTS_MS,
                    service + ": after " + heardMs);
            agent.close();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {" ", "{\"seq\":8,", "\t", "  {"})
    void bytesThatTellNothingAreNoSignOfLife(String begin) throws Exception {
        Timing timing = Timing.standard(false, 500);
        follow(this::answer, timing);
        SetClockAgent.Call watch = agent.calls.get(0);
        seq = 8;
        watch.piece(begin);
        for (int i = 0; i < 30 && watch.open(); i++) {
            agent.advance(200);
            watch.piece(begin.startsWith("{") ? "\n" : " "); // never a line, never whole
        }
        assertEquals(8, heard.get(heard.size() - 1).seq());
        assertTrue(heardMs <= timing.silenceEndsMs() + 10, "after " + heardMs);
    }

    @Test
    void emptyLinesAreAndEndThePausesThatHaveGrown() throws Exception {
        Timing timing = Timing.standard(true, 500); // its pauses grow long
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
        assertEquals(
                before + 1,
                agent.calls.size(),
                "begun anew after the first pause, as after any break of what was well");
    }

    /** What the agent gets when discovery is back counts at once, and drains have their grace and no more. */
    @ParameterizedTest
    @ValueSource(doubles = {350, 500, 1500})
    void afterAnOutageTheListComesWithinADrainsGrace(double graceMs) throws Exception {
        Timing timing = Timing.standard(false, graceMs);
        double worstMs = 0;
        for (int phase = 0; phase < timing.returnMs(); phase += 35) {
            asked.clear();
            heard.clear();
            down = false;
            seq = 7;
            follow(this::answer, timing);
            down = true;
            agent.calls.get(0).close();
            agent.advance(8000 + phase);
            int hanging = heard.size();
            assertEquals(1, hanging);
            seq = 8;
            down = false;
            double backMs = agent.nowMs();
            agent.advance(graceMs);
            assertEquals(2, heard.size(), "within the grace, at phase " + phase);
            worstMs = Math.max(worstMs, heardMs - backMs);
            agent.close();
        }
        assertTrue(worstMs <= timing.returnMs() + 10, worstMs + " of " + timing.returnMs());
        assertTrue(worstMs <= 0.65 * graceMs, "the rest is for the list: " + worstMs);
    }

    @Test
    void aListMayComeIndentedAndCutAnywhere() throws Exception {
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
            assertEquals(100 + cut, heard.get(heard.size() - 1).seq(), "cut at " + cut);
        }
        watch.piece(indented.formatted(900) + indented.formatted(901)
                + "{\"seq\":902,\"hosts\":[]}{\"seq\":903,\"hosts\":[]}");
        agent.settle();
        assertEquals(903, heard.get(heard.size() - 1).seq(), "several in one piece, also with nothing between them");
        assertTrue(watch.open());
        assertEquals(2, asked.size(), "one list and one watch are all that was asked");
    }

    @Test
    void whatCanNotBeReadIsOneLineWithItsPlaceAndTheWholeListIsAskedForAgain() throws Exception {
        follow(this::answer, Timing.standard(false, 500));
        SetClockAgent.Call watch = agent.calls.get(0);
        watch.piece("{\"seq\":8,\"whole\":false,\"hosts\":[}\n");
        agent.settle();
        assertFalse(watch.open());
        agent.advance(60);
        assertEquals("GET /registry/instances", asked.get(2));
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
    void aWholeListThatIsOlderIsTakenAsOneFromElsewhere() throws Exception {
        follow(this::answer, Timing.standard(false, 500));
        SetClockAgent.Call watch = agent.calls.get(0);
        watch.piece("{\"seq\":12,\"whole\":false,\"hosts\":[]}\n");
        agent.settle();
        watch.piece("oops");
        agent.advance(60); // and the list on the new call is still that of version 7
        HostUpdate older = heard.get(heard.size() - 1);
        assertEquals(7, older.seq());
        assertTrue(older.fromElsewhere(), "what it says of the same process undoes no drain");
        SetClockAgent.Call second = agent.calls.get(1);
        second.piece(list(5, "Ready"));
        agent.settle();
        assertTrue(heard.get(heard.size() - 1).fromElsewhere(), "also within one watch");
    }

    @Test
    void theFirstWordIsToldOnceWithTheListOrWithTheEndOfTheFirstCall() throws Exception {
        int[] told = {0};
        down = true;
        follow(this::answer, Timing.standard(false, 500)).onFirstCallCompleted(() -> told[0]++);
        agent.advance(100);
        assertEquals(0, told[0], "the agent is asked, and may answer yet");
        agent.advance(100);
        assertEquals(1, told[0], "it is seen not to answer");
        down = false;
        agent.advance(1000);
        assertEquals(1, told[0]);
        assertEquals(1, heard.size());
    }
}
