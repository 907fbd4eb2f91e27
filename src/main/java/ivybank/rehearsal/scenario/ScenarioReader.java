package ivybank.rehearsal.scenario;

import ivybank.rehearsal.scenario.Scenario.Effect;
import ivybank.rehearsal.scenario.Scenario.Fault;
import ivybank.rehearsal.scenario.Scenario.FaultKind;
import ivybank.rehearsal.scenario.Scenario.Kind;
import ivybank.rehearsal.scenario.Scenario.RequestClass;
import ivybank.toml.InputException;
import ivybank.toml.StrictTable;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Reads a scenario from TOML; the page docs/operators/rehearsal.md lists the keys. */
public final class ScenarioReader {

    private static final double MUST = Double.NaN;

    private ScenarioReader() {}

    public static Scenario read(String file, String text) throws InputException {
        StrictTable root = StrictTable.parse(file, text);
        StrictTable fleet = root.table("fleet");
        StrictTable cold = root.table("cold");
        StrictTable choke = root.table("choke");
        StrictTable traffic = root.table("traffic");
        StrictTable clients = root.table("clients");
        StrictTable limits = root.table("limits");
        StrictTable rules = root.table("rules");
        StrictTable roster = root.table("roster");
        StrictTable floor = root.table("floor");
        StrictTable peers = root.table("peers");
        Scenario scenario = new Scenario(
                root.text("name", null),
                root.text("title", ""),
                root.number("length_s", 1, 3600, MUST),
                (long) root.number("seed", 0, 1e15, 1),
                new Scenario.Fleet(fleet.integer("nodes", 1, 200, 12), fleet.integer("sites", 1, 8, 4)),
                kinds(root),
                new Scenario.Cold(
                        cold.number("from", 0.01, 1, 0.12),
                        cold.number("warm_s", 0.1, 600, 22),
                        cold.number("fall_multiple", 1, 100, 2.5),
                        cold.number("fall_s", 0.1, 60, 2)),
                new Scenario.Choke(
                        choke.number("at", 0, 100, 4),
                        choke.number("over_s", 0.1, 60, 2),
                        choke.number("slower", 1, 20, 1),
                        choke.number("rest_s", 0.1, 60, 3)),
                classes(root),
                new Scenario.Traffic(
                        traffic.number("rate", 1, 20_000, 200),
                        traffic.integer("sidecars", 1, 48, 2),
                        traffic.number("skew", 0.1, 10, 1),
                        traffic.number("swing", 0, 0.9, 0.1)),
                new Scenario.Clients(
                        clients.integer("retries", 0, 5, 1),
                        clients.range("try_share", 0.05, 1, 1),
                        clients.range("backoff_ms", 0, 60_000, 50, 100),
                        clients.number("honour", 0, 1, 1),
                        clients.number("rubbish", 0, 0.2, 0),
                        clients.flag("named", false),
                        clients.number("ask_again", 0, 1, 0),
                        clients.number("leaves", 0, 1, 0),
                        clients.number("leave_ms", 0, 60_000, 100)),
                new Scenario.Limits(
                        limits.integer("memory_mb", 32, 65_536, 192),
                        limits.integer("sockets", 64, 65_536, 512),
                        limits.integer("attempts", 1, 6, 6)),
                new Scenario.Rules(
                        rules.number("drain_grace_ms", 1, 60_000, 500), rules.number("margin_ms", 0, 1000, 50)),
                new Scenario.Roster(
                        roster.range("notice_ms", 0, 60_000, 200, 800),
                        roster.number("told_ms", 100, 60_000, 6000),
                        roster.flag("at_once", false),
                        roster.flag("asked", false)),
                new Scenario.Peers(
                        peers.flag("on", false),
                        peers.integer("never", 0, 200, 0),
                        peers.number("know_s", 0.1, 600, 6),
                        peers.number("settle_s", 0.1, 600, 5),
                        peers.number("pause_s", 0, 600, 1.2)),
                faults(root),
                new Scenario.Floor(floor.number("service", 0, 1, 0)));
        for (StrictTable table :
                List.of(fleet, cold, choke, traffic, clients, limits, rules, roster, peers, floor, root)) {
            table.rejectUnknownKeys();
        }
        check(root, scenario);
        return scenario;
    }

    /** What only all of it together shows to be wrong. */
    private static void check(StrictTable root, Scenario scenario) throws InputException {
        unique(
                root,
                "class",
                scenario.classes().stream().map(RequestClass::name).toList());
        unique(root, "kind", scenario.kinds().stream().map(Kind::name).toList());
        for (Fault fault : scenario.faults()) {
            boolean between = switch (fault.kind()) {
                case PARTITION, LINK, STORM -> true;
                default -> false;
            };
            if (between && !scenario.peers().on()) {
                throw root.error(
                        "fault",
                        "of kind \"" + word(fault.kind())
                                + "\" needs peers.on = true: sidecars that send one another nothing"
                                + " can't be cut off");
            }
            int all = fault.kind().ofSidecars()
                    ? scenario.traffic().sidecars()
                    : scenario.fleet().nodes();
            List<Integer> named = new ArrayList<>(fault.members());
            if (fault.ways() != null) {
                named.addAll(fault.ways().from());
                named.addAll(fault.ways().to());
                named.addAll(fault.ways().bridge());
            }
            for (int member : named) {
                if (member >= all) {
                    throw root.error(
                            "fault",
                            "of kind \"" + word(fault.kind()) + "\" names " + member + ": 0 to " + (all - 1)
                                    + " are there");
                }
            }
        }
    }

    /** Guards against figures that are silently those of one of two of a name. */
    private static void unique(StrictTable root, String key, List<String> names) throws InputException {
        for (String name : names) {
            if (names.indexOf(name) != names.lastIndexOf(name)) {
                throw root.error(key, "has two of the name \"" + name + "\": each needs a name of its own");
            }
        }
    }

    private static List<Kind> kinds(StrictTable root) throws InputException {
        List<Kind> kinds = new ArrayList<>();
        for (StrictTable table : root.tables("kind")) {
            kinds.add(new Kind(
                    table.text("name", null),
                    table.number("share", 0.001, 1, 1),
                    table.integer("cores", 1, 64, 4),
                    table.range("speed", 0.01, 100, 1),
                    table.integer("queue_per_core", 0, 1000, 16),
                    table.integer("connections", 1, 10_000, 76),
                    table.number("connect_ms", 0, 1000, 2)));
            table.rejectUnknownKeys();
        }
        if (kinds.isEmpty()) {
            throw root.error("kind", "is missing: a scenario needs a [[kind]] of node at least");
        }
        return kinds;
    }

    private static List<RequestClass> classes(StrictTable root) throws InputException {
        List<RequestClass> classes = new ArrayList<>();
        for (StrictTable table : root.tables("class")) {
            double deadlineMs = table.number("deadline_ms", 1, 600_000, MUST);
            double aimMs = table.number("aim_ms", 1, deadlineMs, MUST);
            classes.add(new RequestClass(
                    table.text("name", null),
                    table.number("share", 0.001, 1, 1),
                    table.range("work_ms", 0, 60_000, 10),
                    table.range("wait_ms", 0, 60_000, 0),
                    aimMs,
                    deadlineMs,
                    table.number("worth", 0, 1e6, 1),
                    Effect.valueOf(word(table.choice("effect", words(Effect.values()), null))),
                    table.choice("group", List.of("all", "site"), "all").equals("site"),
                    table.number("window_ms", 1, 600_000, deadlineMs)));
            table.rejectUnknownKeys();
        }
        if (classes.isEmpty()) {
            throw root.error("class", "is missing: a scenario needs a [[class]] of requests at least");
        }
        return classes;
    }

    private static List<Fault> faults(StrictTable root) throws InputException {
        List<Fault> faults = new ArrayList<>();
        for (StrictTable table : root.tables("fault")) {
            FaultKind kind = FaultKind.valueOf(word(table.choice("kind", words(FaultKind.values()), null)));
            double size = switch (kind) {
                case SLOW -> table.number("share", 0, 0.95, 0.5); // of the machine, taken by the neighbour
                case DEPLOY -> table.number("batch", 0.01, 1, 0.19); // of the fleet, replaced at a time
                case SPOIL, BREAK -> table.number("share", 0, 1, 0.05); // of the answers, or exchanges
                case REPLACE -> table.number("away_s", 0, 60, 0.3); // before the next one listens
                case ROSTER_OLD -> table.number("behind_s", 0.1, 600, 5);
                case KILL, TERM -> table.number("away_s", 0, 60, 0.5); // before the next process is started
                case STORM -> table.number("every_s", 0.1, 60, 3); // from one fault to the next, in the mean
                default -> 0;
            };
            double extra = kind == FaultKind.DEPLOY ? table.number("drain_s", 0.1, 60, 3) : 0;
            faults.add(new Fault(
                    kind,
                    table.number("at_s", 0, 3600, MUST),
                    table.number("for_s", 0, 3600, 10),
                    table.number("part", 0, 1, 1),
                    size,
                    extra,
                    table.integer("like", 0, faults.size(), 0),
                    table.integers("members", 0, 199),
                    ways(kind, table)));
            table.rejectUnknownKeys();
        }
        return faults;
    }

    /** Null for kinds that are not between sidecars. Empty sides are drawn, or are all the others. */
    private static Scenario.Ways ways(FaultKind kind, StrictTable table) throws InputException {
        if (kind == FaultKind.PARTITION) {
            return new Scenario.Ways(
                    List.of(), List.of(), table.integers("bridge", 0, 199), false, Scenario.Quality.CUT);
        }
        if (kind != FaultKind.LINK) {
            return null;
        }
        double kb = table.number("kb_s", 0, 1e6, 0);
        return new Scenario.Ways(
                table.integers("from", 0, 199),
                table.integers("to", 0, 199),
                List.of(),
                table.flag("one_way", false),
                new Scenario.Quality(
                        table.flag("cut", false),
                        table.number("loss", 0, 1, 0),
                        table.range("delay_ms", 0, 10_000, 0, 0),
                        table.number("doubled", 0, 1, 0),
                        table.number("reordered", 0, 1, 0),
                        kb == 0 ? Double.POSITIVE_INFINITY : kb,
                        table.number("forged", 0, 1, 0),
                        table.number("replayed", 0, 1, 0)));
    }

    static String word(FaultKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static List<String> words(Enum<?>[] values) {
        return Arrays.stream(values)
                .map(value -> value.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
    }

    private static String word(String choice) {
        return choice.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
