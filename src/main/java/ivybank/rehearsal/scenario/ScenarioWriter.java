package ivybank.rehearsal.scenario;

import ivybank.rehearsal.scenario.Scenario.Fault;
import ivybank.rehearsal.scenario.Scenario.FaultKind;
import ivybank.rehearsal.scenario.Scenario.Quality;
import ivybank.toml.InputException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Writes a scenario with other faults: the text that it was read from, and those in place of its own. */
public final class ScenarioWriter {

    private ScenarioWriter() {}

    /**
     * The text with other faults.
     *
     * @throws InputException if its faults are not tables of their own, [[fault]]
     */
    public static String write(String file, String text, List<Fault> faults) throws InputException {
        StringBuilder out = new StringBuilder();
        boolean inFault = false;
        for (String line : text.lines().toList()) {
            String bare = line.strip();
            if (bare.startsWith("[")) {
                inFault = bare.startsWith("[[fault]]");
            }
            if (!inFault) {
                out.append(line).append('\n');
            }
        }
        if (!ScenarioReader.read(file, out.toString()).faults().isEmpty()) {
            throw new InputException(
                    file + ": its faults can't be replaced: each must be a table of its own, [[fault]]");
        }
        faults.forEach(fault -> write(fault, out));
        return out.toString();
    }

    private static void write(Fault fault, StringBuilder out) {
        FaultKind kind = fault.kind();
        out.append("\n[[fault]]\nkind = \"").append(ScenarioReader.word(kind)).append("\"\n");
        number(out, "at_s", fault.atS());
        number(out, "for_s", fault.forS());
        if (fault.members().isEmpty()) {
            number(out, "part", fault.part());
        } else {
            out.append("members = ").append(fault.members()).append('\n');
        }
        String size = switch (kind) {
            case SLOW, SPOIL, BREAK -> "share";
            case DEPLOY -> "batch";
            case REPLACE, KILL, TERM -> "away_s";
            case ROSTER_OLD -> "behind_s";
            case STORM -> "every_s";
            default -> null;
        };
        if (size != null) {
            number(out, size, fault.size());
        }
        if (kind == FaultKind.DEPLOY) {
            number(out, "drain_s", fault.extra());
        }
        if (fault.like() > 0) {
            out.append("like = ").append(fault.like()).append('\n');
        }
        if (kind == FaultKind.PARTITION && !fault.ways().bridge().isEmpty()) {
            out.append("bridge = ").append(fault.ways().bridge()).append('\n');
        }
        if (kind == FaultKind.LINK) {
            out.append("from = ")
                    .append(fault.ways().from())
                    .append("\nto = ")
                    .append(fault.ways().to())
                    .append("\none_way = ")
                    .append(fault.ways().oneWay())
                    .append('\n');
            write(fault.ways().quality(), out);
        }
    }

    private static void write(Quality quality, StringBuilder out) {
        if (quality.cut()) {
            out.append("cut = true\n");
        }
        if (quality.loss() > 0) {
            number(out, "loss", quality.loss());
        }
        if (quality.delayMs()[1] > 0) {
            out.append("delay_ms = ")
                    .append(Arrays.stream(quality.delayMs())
                            .mapToObj(ScenarioWriter::brief)
                            .collect(Collectors.joining(", ", "[", "]")))
                    .append('\n');
        }
        if (quality.doubled() > 0) {
            number(out, "doubled", quality.doubled());
        }
        if (quality.reordered() > 0) {
            number(out, "reordered", quality.reordered());
        }
        if (quality.kbPerS() < Double.POSITIVE_INFINITY) {
            number(out, "kb_s", quality.kbPerS());
        }
        if (quality.forged() > 0) {
            number(out, "forged", quality.forged());
        }
        if (quality.replayed() > 0) {
            number(out, "replayed", quality.replayed());
        }
    }

    private static void number(StringBuilder out, String key, double value) {
        out.append(key).append(" = ").append(brief(value)).append('\n');
    }

    private static String brief(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.format(Locale.ROOT, "%s", value);
    }
}
