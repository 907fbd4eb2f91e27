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

/** Several sidecars' views of the fleet side by side, with their differences marked. */
final class ViewTable {

    /** One sidecar's view as its admin endpoint returned it; {@code view} is null where the endpoint did not answer. */
    record Reply(String endpoint, JsonNode view) {}

    private static final String ABSENT = "-";
    private static final int MIN_COLUMN_WIDTH = 14;

    private final List<Reply> replies;
    private final Map<Integer, String> namesByIndex = new TreeMap<>();
    private final List<Integer> differingIndexes = new ArrayList<>();

    ViewTable(List<Reply> replies) {
        this.replies = List.copyOf(replies);
        for (Reply each : answered()) {
            for (JsonNode member : each.view.path("members")) {
                namesByIndex.merge(
                        member.path("seat").asInt(),
                        member.path("name").asText(""),
                        (one, other) -> one.isEmpty() ? other : one);
            }
        }
        for (int index : namesByIndex.keySet()) {
            Set<String> seen = new LinkedHashSet<>();
            answered().forEach(each -> seen.add(comparedState(each, index)));
            if (seen.size() > 1) {
                differingIndexes.add(index);
            }
        }
    }

    private List<Reply> answered() {
        return replies.stream().filter(each -> each.view != null).toList();
    }

    /** Returns whether all sidecars answered and have the same view. */
    boolean isConsistent() {
        return differingIndexes.isEmpty() && answered().size() == replies.size();
    }

    private static JsonNode member(Reply reply, int index) {
        for (JsonNode member : reply.view.path("members")) {
            if (member.path("seat").asInt() == index) {
                return member;
            }
        }
        return null;
    }

    /**
     * Returns the part of a member's state that is compared: a forgotten member equals one that is known to have left.
     */
    private static String comparedState(Reply reply, int index) {
        JsonNode member = member(reply, index);
        return member == null || !FleetViewClient.isAlive(member) ? ABSENT : state(member);
    }

    private static String state(JsonNode member) {
        return member.path("standing").asText() + " " + member.path("life").asText();
    }

    private static String cell(Reply reply, int index) {
        JsonNode member = member(reply, index);
        return member == null
                ? ABSENT
                : state(member)
                        + (member.has("doubted_by") ? " suspected by " + member.get("doubted_by") : "")
                        + (member.path("heeded").asBoolean(true) ? "" : " ignored");
    }

    /** Returns the lines of the table, followed by a summary. */
    List<String> lines() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(row("", each -> each.endpoint));
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
                "live peers",
                each -> each.view == null ? "" : each.view.path("peers").asText()));
        rows.add(row(
                "health",
                each -> each.view == null ? "" : each.view.path("health").asText()));
        for (Map.Entry<Integer, String> index : namesByIndex.entrySet()) {
            rows.add(row(
                    (differingIndexes.contains(index.getKey()) ? "* " : "  ") + index.getKey() + " " + index.getValue(),
                    each -> each.view == null ? "" : cell(each, index.getKey())));
        }
        int[] widths = new int[replies.size() + 1];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(
                        Math.max(widths[i], MIN_COLUMN_WIDTH), row.get(i).length());
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
        lines.add(summary());
        return lines;
    }

    private String summary() {
        int unanswered = replies.size() - answered().size();
        double minSettledS = answered().stream()
                .mapToDouble(each -> each.view.path("settled_ms").asDouble() / 1000)
                .min()
                .orElse(0);
        String summary = differingIndexes.isEmpty()
                ? "all that answered have the same view"
                : "they differ on members " + differingIndexes
                        + String.format(Locale.ROOT, "; the last change was %.1f s ago", minSettledS);
        return summary + (unanswered == 0 ? "" : "; no answer from " + unanswered);
    }

    private List<String> row(String title, java.util.function.Function<Reply, String> cell) {
        List<String> row = new ArrayList<>();
        row.add(title);
        replies.forEach(each -> row.add(cell.apply(each)));
        return row;
    }
}
