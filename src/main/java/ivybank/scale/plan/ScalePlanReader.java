package ivybank.scale.plan;

import ivybank.scale.plan.ScalePlan.Beside;
import ivybank.scale.plan.ScalePlan.Bounds;
import ivybank.scale.plan.ScalePlan.FleetPlan;
import ivybank.scale.plan.ScalePlan.ListPlan;
import ivybank.scale.plan.ScalePlan.ViewPlan;
import ivybank.toml.InputException;
import ivybank.toml.StrictTable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads a scale run's file, strictly: docs/operators/scale.md describes it. */
public final class ScalePlanReader {

    private static final int MOST_NODES = 20_000;
    private static final int MOST_MEMBERS = 10_000;
    private static final int MOST_SEED = 1_000_000;
    private static final int MOST_PROCESSES = 32;
    private static final int LEAST_MEMORY_MB = 500;
    private static final int MOST_MEMORY_MB = 1 << 20;
    private static final double MOST_SECONDS = 600;
    private static final double MOST_RATE = 1000;

    private final Problems problems = new Problems();

    private ScalePlanReader() {}

    /**
     * Reads a file.
     *
     * @throws InputException with one line for each bad value, with file, key and what is allowed
     */
    public static ScalePlan read(Path file) throws InputException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new InputException(file + ": can't be read: " + e.getClass().getSimpleName());
        }
    }

    /** The same of a text; {@code file} is what errors call it. */
    public static ScalePlan parse(String file, String text) throws InputException {
        return new ScalePlanReader().plan(StrictTable.parse(file, text));
    }

    private ScalePlan plan(StrictTable root) throws InputException {
        String name = problems.or("", () -> root.text("name", "scale"));
        List<Integer> seeds = problems.or(List.of(1), () -> root.integers("seeds", 1, MOST_SEED));
        int target = problems.or(1, () -> root.integer("target", 1, MOST_NODES, 6200));
        int zones = problems.or(1, () -> root.integer("zones", 1, 1000, 17));
        Bounds bounds = bounds(table(root, "bounds"));
        ListPlan list = list(table(root, "list"));
        FleetPlan fleet = fleet(table(root, "fleet"));
        ViewPlan view = view(table(root, "view"));
        Beside beside = beside(table(root, "beside"));
        end(root);
        if (seeds.isEmpty()) {
            problems.add(root.error("seeds", "is empty: at least one whole number is needed"));
        }
        problems.end();
        List<Long> longSeeds = seeds.stream().map(Integer::longValue).toList();
        return new ScalePlan(name, longSeeds, target, zones, bounds, list, fleet, view, beside);
    }

    private StrictTable table(StrictTable root, String key) throws InputException {
        StrictTable empty = StrictTable.parse(key, "");
        return problems.or(empty, () -> root.table(key));
    }

    private void end(StrictTable table) {
        problems.or(true, () -> {
            table.rejectUnknownKeys();
            return true;
        });
    }

    private Bounds bounds(StrictTable table) {
        Bounds bounds = new Bounds(
                problems.or(0, () -> table.integer("memory_mb", LEAST_MEMORY_MB, MOST_MEMORY_MB, 6000)),
                problems.or(0.0, () -> table.number("minutes", 0.1, 120, 12)),
                problems.or(0.0, () -> table.number("busy_part", 0.1, 1, 0.9)),
                problems.or(0.0, () -> table.number("late_ms", 1, 10_000, 50)));
        end(table);
        return bounds;
    }

    private ListPlan list(StrictTable table) {
        ListPlan list = new ListPlan(
                problems.or(List.of(), () -> table.integers("sizes", 1, MOST_NODES)),
                problems.or(0, () -> table.integer("sidecars", 1, MOST_MEMBERS, 8)),
                problems.or(0, () -> table.integer("real_sidecars", 0, MOST_PROCESSES, 2)),
                problems.or(0.0, () -> table.number("changes_per_s", 0.1, MOST_RATE, 20)),
                problems.or(0.0, () -> table.number("seconds", 0.5, MOST_SECONDS, 3)));
        end(table);
        return list;
    }

    private FleetPlan fleet(StrictTable table) {
        FleetPlan fleet = new FleetPlan(
                problems.or(List.of(), () -> table.integers("sizes", 1, MOST_MEMBERS)),
                problems.or(0, () -> table.integer("processes", 1, MOST_PROCESSES, 2)),
                problems.or(0.0, () -> table.number("changes_per_s", 0.1, MOST_RATE, 5)),
                problems.or(0.0, () -> table.number("seconds", 0.5, MOST_SECONDS, 3)),
                problems.or(0.0, () -> table.number("stop_s", 0.1, MOST_SECONDS, 2)),
                problems.or(0.0, () -> table.number("cut_s", 0.1, MOST_SECONDS, 4)));
        end(table);
        return fleet;
    }

    private ViewPlan view(StrictTable table) {
        ViewPlan view = new ViewPlan(
                problems.or(List.of(), () -> table.integers("sizes", 2, MOST_MEMBERS)),
                problems.or(0, () -> table.integer("processes", 1, MOST_PROCESSES, 2)),
                problems.or(0.0, () -> table.number("rest_s", 0.5, MOST_SECONDS, 4)),
                problems.or(0.0, () -> table.number("longest_s", 1, MOST_SECONDS, 30)));
        end(table);
        return view;
    }

    private Beside beside(StrictTable table) {
        Beside beside = new Beside(
                problems.or(false, () -> table.flag("on", false)),
                problems.or(0, () -> table.integer("sidecars", 1, MOST_PROCESSES, 6)),
                problems.or(0.0, () -> table.number("length_s", 1, MOST_SECONDS, 15)));
        end(table);
        return beside;
    }
}
