package ivybank.rehearsal.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.rehearsal.latency.Observations.Outcome;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The generator against stand-in nodes, one of which takes the sidecar's place. */
@Timeout(60)
class LoadGeneratorTest {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final ArrivalSchedule SCHEDULE = ArrivalSchedule.draw(500, 0.4, 1);
    private static final int LONG_ENOUGH_MS = 20_000; // also beside load
    private static final int SHORT_MS = 300;

    private static RunSummary play(EchoNodes nodes, int budgetMs) throws IOException {
        InetSocketAddress sidecar = nodes.addresses().get(0);
        List<InetSocketAddress> direct = nodes.addresses().subList(1, 3);
        try (LoadGenerator generator = new LoadGenerator(sidecar, direct, "read", budgetMs)) {
            return RunSummary.of(generator.play(SCHEDULE), 0, Long.MAX_VALUE);
        }
    }

    @Test
    void allIsServedOnBothRoutes() throws IOException {
        try (EchoNodes nodes = new EchoNodes(List.of(ANY_PORT, ANY_PORT, ANY_PORT), NodeFaults.none())) {
            RunSummary run = play(nodes, LONG_ENOUGH_MS);
            assertEquals(1, run.servedPart(Route.DIRECT));
            assertEquals(1, run.servedPart(Route.THROUGH));
            assertEquals(SCHEDULE.pairCount(), run.pairedDifference().count());
        }
    }

    @Test
    void requestsThatAreNeverAnsweredAreCountedAndTheRunEnds() throws IOException {
        try (EchoNodes nodes = new EchoNodes(List.of(ANY_PORT, ANY_PORT, ANY_PORT), NodeFaults.none())) {
            nodes.hang(0);
            RunSummary run = play(nodes, SHORT_MS);
            assertEquals(SCHEDULE.pairCount(), run.count(Route.THROUGH, Outcome.UNANSWERED));
            assertEquals(0, run.count(Route.DIRECT, Outcome.WRONG_ANSWER));
        }
    }

    @Test
    void spoiltAnswersFailAndMeetTheRouteThroughTheSidecarAlone() throws IOException {
        try (EchoNodes nodes = new EchoNodes(List.of(ANY_PORT, ANY_PORT, ANY_PORT), new NodeFaults(0.2, 0, 1))) {
            RunSummary run = play(nodes, LONG_ENOUGH_MS);
            assertEquals(0.2 * SCHEDULE.pairCount(), run.count(Route.THROUGH, Outcome.FAILED), 25);
            assertEquals(1, run.servedPart(Route.DIRECT));
        }
    }

    @Test
    void nodesThatStandStillDelayWhatIsDueMeanwhileFromWhenItWasDue() throws Exception {
        try (EchoNodes nodes = new EchoNodes(List.of(ANY_PORT, ANY_PORT, ANY_PORT), NodeFaults.none())) {
            nodes.loop.execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(200)));
            RunSummary run = play(nodes, LONG_ENOUGH_MS);
            assertTrue(run.latency(Route.DIRECT).partOver(20) > 0.1, "direct over 20 ms");
            assertEquals(1, run.servedPart(Route.DIRECT));
        }
    }
}
