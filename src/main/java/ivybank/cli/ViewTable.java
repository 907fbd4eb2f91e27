package ivybank.cli;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.common.FleetViewClient;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Several sidecars' views side by side, and where they differ. */
final class ViewTable {

    /** One sidecar's view as its door told it; {@code view} is null where it did not answer. */
    record Asked(String door, JsonNode view) {}

    private static final String ABSENT = "-";
    private static final int LEAST_WIDTH = 14;

    private final List<Asked> asked;
    private final Map<Integer, String> names = new TreeMap<>(); // by seat
    private final List<Integer> differing = new ArrayList<>();

    ViewTable(List<Asked> asked) {
        this.asked = List.copyOf(asked);
        for (Asked each : answered()) {
            for (JsonNode member : each.view.path("members")) {
                names.merge(
                        member.path("seat").asInt(),
                        member.path("name").asText(""),
                        (one, other) -> one.isEmpty() ? other : one);
            }
        }
        for (int seat : names.keySet()) {
            Set<String> seen = new LinkedHashSet<>();
            answered().forEach(each -> seen.add(living(each, seat)));
            if (seen.size() > 1) {
                differing.add(seat);
            }
        }
    }

    private List<Asked> answered() {
        return asked.stream().filter(each -> each.view != null).toList();
    }

    /** Whether all answered and see the same. */
    boolean alike() {
        return differing.isEmpty() && answered().size() == asked.size();
    }

    private static JsonNode member(Asked by, int seat) {
        for (JsonNode member : by.view.path("members")) {
            if (member.path("seat").asInt() == seat) {
                return member;
            }
        }
        return null;
    }

    /** What counts for a difference: one that has been forgotten is as gone as one that is known to be. */
    private static String living(Asked by, int seat) {
        JsonNode member = member(by, seat);
        return member == null || !FleetViewClient.isAlive(member) ? ABSENT : state(member);
    }

    private static String state(JsonNode member) {
        return member.path("standing").asText() + " " + member.path("life").asText();
    }

    private static String cell(Asked by, int seat) {
        JsonNode member = member(by, seat);
        return member == null
                ? ABSENT
                : state(member)
                        + (member.has("doubted_by") ? " doubted by " + member.get("doubted_by") : "")
                        + (member.path("heeded").asBoolean(true) ? "" : " not heeded");
    }

    /** The lines of the table, and one that sums it up. */
    List<String> lines() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(row("", each -> each.door));
        rows.add(row(
                "settled for",
                each -> each.view == null
                        ? "no answer"
                        : String.format(
                                Locale.ROOT,
                                "%.1f s",
                                each.view.path("settled_ms").asDouble() / 1000)));
        rows.add(row(
                "view",
                each -> each.view == null ? "" : each.view.path("digest").asText()));
        rows.add(row(
                "others that live",
                each -> each.view == null ? "" : each.view.path("peers").asText()));
        rows.add(row(
                "health",
                each -> each.view == null ? "" : each.view.path("health").asText()));
        for (Map.Entry<Integer, String> seat : names.entrySet()) {
            rows.add(row(
                    (differing.contains(seat.getKey()) ? "* " : "  ") + seat.getKey() + " " + seat.getValue(),
                    each -> each.view == null ? "" : cell(each, seat.getKey())));
        }
        int[] widths = new int[asked.size() + 1];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] =
                        Math.max(Math.max(widths[i], LEAST_WIDTH), row.get(i).length());
            }
        }
        List<String> lines = new ArrayList<>();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(String.format(Locale.ROOT, "%-" + widths[i] + "s  ", row.get(i)));
            }
            lines.add(line.toString().stripTrailing());
        }
        lines.add(sum());
        return lines;
    }

    private String sum() {
        int silent = asked.size() - answered().size();
        double leastS = answered().stream()
                .mapToDouble(each -> each.view.path("settled_ms").asDouble() / 1000)
                .min()
                .orElse(0);
        String sum = differing.isEmpty()
                ? "all that answered see the same"
                : "they differ on seats " + differing
                        + String.format(Locale.ROOT, "; the one that changed last did so %.1f s ago", leastS);
        return sum + (silent == 0 ? "" : "; no answer from " + silent);
    }

    private List<String> row(String title, java.util.function.Function<Asked, String> cell) {
        List<String> row = new ArrayList<>();
        row.add(title);
        asked.forEach(each -> row.add(cell.apply(each)));
        return row;
    }
}
