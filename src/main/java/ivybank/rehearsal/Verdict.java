package ivybank.rehearsal;

import ivybank.rehearsal.referee.Referee.Rule;
import ivybank.rehearsal.stand.ScenarioRun;
import ivybank.rehearsal.stand.ScenarioRun.Usage;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Whether a day was good, and each reason why not. Where the machine was too busy to tell, it is not judged. */
public record Verdict(Kind kind, List<String> reasons) {

    /** What it may be. */
    public enum Kind {
        PASSED,
        FAILED,
        NOT_JUDGED
    }

    /** A kit that is later than this blames sidecars for its own time. */
    private static final double MOST_LATE_MS = 250;

    private static final double GROWTH_MB = 12; // code that is compiled late, and caches, take some
    private static final double GROWTH_PART = 0.12;
    private static final long LEAST_ATTEMPTS = 200;
    private static final double MOST_CONNECTIONS = 0.5;
    private static final int LEAST_SAMPLES = 12;

    public Verdict {
        reasons = List.copyOf(reasons);
    }

    /** Judges a day. */
    public static Verdict of(ScenarioRun.Result day) {
        List<String> reasons = new ArrayList<>();
        if (day.latenessMs() > MOST_LATE_MS) {
            return new Verdict(
                    Kind.NOT_JUDGED,
                    List.of(String.format(
                            Locale.ROOT,
                            "the machine was too busy: the kit itself" + " was up to %.0f ms late, %.0f are allowed",
                            day.latenessMs(),
                            MOST_LATE_MS)));
        }
        if (day.starvedMs() > MOST_LATE_MS) {
            return new Verdict(
                    Kind.NOT_JUDGED,
                    List.of(String.format(
                            Locale.ROOT,
                            "the machine was too busy: a sidecar waited %.0f ms of"
                                    + " half a second for a core, %.0f are allowed",
                            day.starvedMs(),
                            MOST_LATE_MS)));
        }
        day.referee()
                .counts()
                .forEach((rule, count) -> reasons.add("rule " + word(rule) + " broken " + count + " times"));
        if (day.views() != null) {
            reasons.addAll(day.views().reasons());
        }
        double floor = day.plan().scenario().floor().service();
        if (day.service().figure() < floor) {
            reasons.add(String.format(
                    Locale.ROOT,
                    "service %.3f is under the floor of %.3f",
                    day.service().figure(),
                    floor));
        }
        long needless = day.connections() - day.givenUp();
        if (day.attempts() > LEAST_ATTEMPTS && needless > MOST_CONNECTIONS * day.attempts()) {
            reasons.add(String.format(
                    Locale.ROOT,
                    "%d connections were opened for %d attempts, %d of which were given up: beyond"
                            + " those at most one for each %.0f is allowed",
                    day.connections(),
                    day.attempts(),
                    day.givenUp(),
                    1 / MOST_CONNECTIONS));
        }
        for (int i = 0; i < day.plan().scenario().traffic().sidecars(); i++) {
            growth(day, i, reasons);
        }
        return new Verdict(reasons.isEmpty() ? Kind.PASSED : Kind.FAILED, reasons);
    }

    static String word(Rule rule) {
        return rule.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Memory and descriptors: the last third of a process's day against the third before it. */
    private static void growth(ScenarioRun.Result day, int sidecar, List<String> reasons) {
        List<Usage> own =
                day.usage().stream().filter(each -> each.sidecar() == sidecar).toList();
        int from = 0; // the samples of the last process
        for (int i = 1; i < own.size(); i++) {
            from = own.get(i).cpuS() < own.get(i - 1).cpuS() ? i : from;
        }
        own = own.subList(from, own.size());
        if (own.size() < LEAST_SAMPLES) {
            return;
        }
        int third = own.size() / 3;
        List<Usage> middle = own.subList(third, 2 * third);
        List<Usage> last = own.subList(2 * third, own.size());
        double before = middle.stream().mapToDouble(Usage::memoryMb).average().orElse(0);
        double after = last.stream().mapToDouble(Usage::memoryMb).average().orElse(0);
        if (after > before + GROWTH_MB && after > before * (1 + GROWTH_PART)) {
            reasons.add(String.format(
                    Locale.ROOT,
                    "the memory of sidecar %d goes on growing: %.0f MB, then %.0f MB",
                    sidecar,
                    before,
                    after));
        }
        double most = own.stream().mapToDouble(Usage::descriptors).max().orElse(0);
        if (most > day.plan().scenario().limits().sockets()) {
            reasons.add(String.format(
                    Locale.ROOT,
                    "sidecar %d held %.0f descriptors, %d are allowed",
                    sidecar,
                    most,
                    day.plan().scenario().limits().sockets()));
        }
        double memory = own.stream().mapToDouble(Usage::memoryMb).max().orElse(0);
        if (memory > day.plan().scenario().limits().memoryMb()) {
            reasons.add(String.format(
                    Locale.ROOT,
                    "sidecar %d held %.0f MB, %d are allowed",
                    sidecar,
                    memory,
                    day.plan().scenario().limits().memoryMb()));
        }
    }
}
