package ivybank.rehearsal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.RecoveryTime;
import ivybank.rehearsal.referee.Returns;
import ivybank.rehearsal.referee.Service;
import ivybank.rehearsal.scenario.Plan.Target;
import ivybank.rehearsal.stand.ScenarioRun;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** How service came back after each fault, what each process took to come back, and what others bore meanwhile. */
final class ReturnTable {

    private static final int REST_S = 5;

    /** A fault, the seconds to full service, and the most that others bore in a second from then to the next fault and in the 5 s before. */
    private record Row(double atS, String what, double fullS, Returns.Borne worst, Returns.Borne rest) {}

    private final ScenarioRun.Result day;
    private final List<Row> rows = new ArrayList<>();

    ReturnTable(ScenarioRun.Result day) {
        this.day = day;
        int seconds = day.service().results().length;
        List<Target> targets = day.plan().targets();
        for (int i = 0; i < targets.size(); i++) {
            double atS = targets.get(i).fault().atS();
            if (atS >= seconds) {
                continue;
            }
            int until = i + 1 < targets.size()
                    ? (int) Math.ceil(targets.get(i + 1).fault().atS())
                    : seconds;
            int from = (int) Math.floor(atS);
            rows.add(new Row(
                    atS,
                    targets.get(i)
                            .fault()
                            .kind()
                            .name()
                            .toLowerCase(Locale.ROOT)
                            .replace('_', '-'),
                    RecoveryTime.seconds(this::share, seconds, atS),
                    day.returns().worst(from, Math.max(from + 1, Math.min(seconds, until))),
                    day.returns().worst(Math.max(0, from - REST_S), from)));
        }
    }

    /** The part of a second's first tries that was in time; NaN where there were none. */
    private double share(int second) {
        int[] row = day.service().results()[second];
        int all = 0;
        for (int count : row) {
            all += count;
        }
        return all == 0 ? Double.NaN : row[Service.Result.IN_TIME.ordinal()] / (double) all;
    }

    private static String brief(double seconds) {
        return Double.isNaN(seconds)
                ? "-"
                : seconds == Double.POSITIVE_INFINITY ? "never" : String.format(Locale.ROOT, "%.1f", seconds);
    }

    List<String> lines() {
        List<String> lines = new ArrayList<>();
        if (!rows.isEmpty()) {
            lines.add(
                    "to full service, s; then the most in one second, and in the 5 s before: connections begun at one node, attempts at one just"
                            + " back, calls to discovery, attempts");
        }
        for (Row row : rows) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%7.2f s  %-14s %6s   %4d (%d)  %4d (%d)  %4d (%d)  %5d (%d)",
                    row.atS,
                    row.what,
                    brief(row.fullS),
                    row.worst.begun(),
                    row.rest.begun(),
                    row.worst.justBack(),
                    row.rest.justBack(),
                    row.worst.calls(),
                    row.rest.calls(),
                    row.worst.attempts(),
                    row.rest.attempts()));
        }
        if (!day.returns().starts().isEmpty()) {
            lines.add("each start, ms until: discovery asked, ready, first attempt, first served");
        }
        for (Returns.Start start : day.returns().starts()) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%7.2f s  sidecar %d  %6.0f %6.0f %6.0f %6.0f",
                    start.atMs() / 1000,
                    start.sidecar(),
                    start.askedMs(),
                    start.readyMs(),
                    start.attemptMs(),
                    start.servedMs()));
        }
        return lines;
    }

    void write(ObjectNode root) {
        ArrayNode faults = root.putArray("to_full_service");
        for (Row row : rows) {
            ObjectNode each = faults.addObject().put("at_s", row.atS).put("fault", row.what);
            if (row.fullS < Double.POSITIVE_INFINITY) { // and neither NaN
                each.put("seconds", row.fullS);
            }
            write(each.putObject("most_in_a_second"), row.worst);
            write(each.putObject("most_before"), row.rest);
        }
        ArrayNode starts = root.putArray("starts");
        for (Returns.Start start : day.returns().starts()) {
            ObjectNode each = starts.addObject().put("at_ms", start.atMs()).put("sidecar", start.sidecar());
            put(each, "asked_ms", start.askedMs());
            put(each, "ready_ms", start.readyMs());
            put(each, "first_attempt_ms", start.attemptMs());
            put(each, "first_served_ms", start.servedMs());
        }
    }

    private static void put(ObjectNode node, String key, double value) {
        if (!Double.isNaN(value)) {
            node.put(key, value);
        }
    }

    private static void write(ObjectNode node, Returns.Borne borne) {
        node.put("connections_at_one_node", borne.begun())
                .put("attempts_at_one_just_back", borne.justBack())
                .put("calls_to_discovery", borne.calls())
                .put("attempts", borne.attempts());
    }
}
