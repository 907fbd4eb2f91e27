package ivybank.tally;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Logs that many sidecars wrote, each harmless, and what they come to. */
class FleetSumTest {

    private static final double START_MS = 1_800_000_000_000.0;

    @TempDir
    Path dir;

    /** Logs of so many sidecars, each of which begins so many connections to one node that has just come back. */
    private Path logs(String name, int sidecars, int begun) throws Exception {
        Path folder = Files.createDirectory(dir.resolve(name));
        for (int i = 0; i < sidecars; i++) {
            SecondTally tally = new SecondTally();
            StringBuilder log = new StringBuilder("listening\n");
            for (int second = 1; second <= 3; second++) {
                for (int n = 0; n < (second == 2 ? begun : 0); n++) {
                    tally.connectionStarted("back");
                    tally.attemptSent("back", Tally.Age.JUST_BACK);
                }
                tally.requestTaken();
                tally.attemptSent("other-" + i, Tally.Age.WARM);
                tally.requestServed();
                tally.requestCompleted();
                tally.discoveryCalled();
                tally.listUpdated(second < 3 ? 7 : 8);
                log.append(0.1 * second)
                        .append(' ')
                        .append(tally.endSecond(START_MS + 1000 * second + 5 * i, i)
                                .line())
                        .append('\n');
                log.append(
                        "given up within 1000 ms: {ROOM=2, ATTEMPTS=1}; admitting 90%; of 10 members 5 full, 0 cold, 1 set aside\n");
            }
            Files.writeString(folder.resolve("n" + i + ".log"), log);
        }
        return folder;
    }

    private static Map<String, Double> figures(FleetSum sum) {
        return sum.figures().stream().collect(Collectors.toMap(FleetSum.Figure::name, FleetSum.Figure::value));
    }

    @Test
    void timeToFullServiceIsToldFromAnInstant() {
        FleetSum sum = new FleetSum();
        sum.begin("n0");
        SecondTally tally = new SecondTally();
        for (int second = 1; second <= 16; second++) {
            tally.requestTaken();
            if (second != 7 && second != 8) {
                tally.requestServed();
            }
            tally.requestCompleted();
            sum.line(tally.endSecond(START_MS + 1000 * second + 100, 0).line());
        }
        assertEquals(2, sum.toFullService(START_MS / 1000 + 7));
        assertEquals(Double.NaN, sum.toFullService(START_MS / 1000), "nothing is known of before");
    }

    @Test
    void whatIsOneInEachLogIsAHundredAtTheNode() throws Exception {
        FleetSum sum = LogFolder.sum(logs("hundred", 100, 1));
        Map<String, Double> figures = figures(sum);
        assertEquals(100, sum.sidecars());
        assertEquals(300, figures.get("requests taken"));
        assertEquals(1, figures.get("served, of those taken"));
        assertEquals(100, figures.get("connections begun at one node in its worst second"));
        assertEquals(100, figures.get("attempts at one node just back in its worst second"));
        assertEquals(100, figures.get("calls to discovery in the worst second"));
        assertEquals(3, figures.get("given up for each request"));
        assertEquals(10, figures.get("members drawn from, where requests were given up"));
        assertEquals(450, figures.get("ms until nine in ten sidecars knew of a change, in the median"), 10);
        assertTrue(sum.table().size() > 3);
        assertTrue(sum.mostTimedOut(3).size() == 3);
    }

    @Test
    void whatGrewOutOfProportionIsNamedAndNothingElse() throws Exception {
        FleetSum before = LogFolder.sum(logs("before", 50, 1));
        FleetSum now = LogFolder.sum(logs("now", 50, 4));
        assertTrue(before.against(before).isEmpty());
        String worst = now.against(before).get(0);
        assertTrue(
                now.against(before).stream()
                        .anyMatch(line -> line.startsWith(
                                "connections begun at one node in its worst second: 200.000 from 50.000, 4.0 times")),
                now.against(before).toString());
        assertTrue(worst.contains("4.0 times"), worst);
        assertTrue(now.against(before).stream().noneMatch(line -> line.startsWith("requests taken")));
    }

    @Test
    void logsThatWereCutDamagedOrSetToAnotherTimeAreCountedAndLeftOut() throws Exception {
        Path folder = logs("damaged", 3, 1);
        byte[] whole = Files.readAllBytes(folder.resolve("n0.log"));
        for (int cut = 0; cut < whole.length; cut++) {
            byte[] part = new byte[cut];
            System.arraycopy(whole, 0, part, 0, cut);
            Files.write(folder.resolve("n0.log"), part);
            FleetSum sum = LogFolder.sum(folder);
            assertTrue(sum.sidecars() >= 2, "cut at " + cut);
        }
        byte[] flipped = whole.clone();
        flipped[40] = (byte) 0xff;
        Files.write(folder.resolve("n0.log"), flipped);
        LogFolder.sum(folder);
        Files.write(
                folder.resolve("n0.log"),
                new String(whole, StandardCharsets.UTF_8)
                        .replace("at=18000000", "at=99000000")
                        .getBytes(StandardCharsets.UTF_8));
        FleetSum sum = LogFolder.sum(folder);
        assertTrue(sum.seconds().size() <= 4, sum.seconds().keySet().toString());
        assertTrue(sum.skippedLines() > 0);
        Files.writeString(folder.resolve("empty.log"), "");
        Files.write(folder.resolve("noise.log"), new byte[] {0, 1, (byte) 0xc3, 10, (byte) 0xff});
        assertEquals(sum.sidecars(), LogFolder.sum(folder).sidecars());
    }
}
