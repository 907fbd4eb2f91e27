package ivybank.emulator;

import ivybank.fleet.FleetTiming;
import ivybank.fleet.ViewSnapshot;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Random scripts of joins, kills, stops, cuts and losses over small fleets: what must hold at each step, and after the last. */
class ViewScriptsTest {

    private static final int SEATS = 7;
    /** After the last fault, with 30% loss or without: the bound for a long partition. */
    private static final double SETTLED_MS = 15_000;

    enum What {
        START,
        KILL,
        LEAVE,
        FREEZE,
        THAW,
        CUT,
        CUT_ONE_WAY,
        HEAL,
        LOSSY,
        CALM,
        WAIT
    }

    record Step(What what, int memberIndex, int other, int ms) {}

    @Provide
    Arbitrary<List<Step>> scripts() {
        return Combinators.combine(
                        Arbitraries.of(What.class),
                        Arbitraries.integers().between(0, SEATS - 1),
                        Arbitraries.integers().between(1, SEATS - 1),
                        Arbitraries.integers().between(0, 6000))
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(60);
    }

    /** 1,300 scripts of 40 steps in the mean: 50,000 steps. */
    @Property(tries = 1300, seed = "20261201")
    void livesOnlyRiseNobodyGoneIsBackWithoutAHigherOneAndAllSettles(@ForAll("scripts") List<Step> script) {
        ViewWorld world = new ViewWorld(SEATS, script.size(), FleetTiming.STANDARD, ViewNetwork.CALM);
        boolean[] frozen = new boolean[SEATS];
        Map<Integer, Long> highest = new HashMap<>(); // by viewer and seat
        Map<Integer, Long> ended = new HashMap<>();
        Map<Integer, Long> own = new HashMap<>();
        long[] seated = new long[SEATS]; // which process looks, so that a fresh one may know less
        world.start(0);
        for (Step step : script) {
            take(world, step, frozen, seated);
            world.run(step.ms);
            for (int by : world.running()) {
                long incarnation = world.incarnation(by);
                check(incarnation >= own.getOrDefault(by, 0L), "the life of " + by + " falls");
                own.put(by, incarnation);
                for (ViewSnapshot.MemberSnapshot seen : world.view(by).members()) {
                    int key = (int) (seated[by] * 1000 + by * 10L + seen.memberIndex());
                    check(
                            seen.incarnation() >= highest.getOrDefault(key, 0L),
                            "the life of " + seen.memberIndex() + " falls at " + by);
                    highest.put(key, seen.incarnation());
                    if (!seen.state().isAlive()) {
                        ended.merge(key, seen.incarnation(), Math::max);
                    } else {
                        check(
                                seen.incarnation() > ended.getOrDefault(key, 0L),
                                seen.memberIndex() + " is back at " + by + " with its old life");
                    }
                }
            }
        }
        world.cut((from, to) -> false);
        world.network(ViewNetwork.CALM);
        for (int i = 0; i < SEATS; i++) {
            if (frozen[i] && world.lives(i)) {
                world.thaw(i);
            }
        }
        check(world.untilSettled(SETTLED_MS) <= SETTLED_MS, "views don't settle");
    }

    private static void take(ViewWorld world, Step step, boolean[] frozen, long[] seated) {
        int memberIndex = step.memberIndex;
        int other = (memberIndex + step.other) % SEATS;
        boolean runs = world.lives(memberIndex) && !frozen[memberIndex];
        switch (step.what) {
            case START -> {
                if (!world.lives(memberIndex)) {
                    seated[memberIndex]++;
                    world.start(memberIndex);
                }
            }
            case KILL -> {
                if (world.lives(memberIndex)) {
                    frozen[memberIndex] = false;
                    world.kill(memberIndex);
                }
            }
            case LEAVE -> {
                if (runs) {
                    world.leave(memberIndex);
                }
            }
            case FREEZE -> {
                if (runs) {
                    frozen[memberIndex] = true;
                    world.freeze(memberIndex);
                }
            }
            case THAW -> {
                if (frozen[memberIndex]) {
                    frozen[memberIndex] = false;
                    world.thaw(memberIndex);
                }
            }
            case CUT -> world.cut((from, to) -> from < memberIndex != to < memberIndex);
            case CUT_ONE_WAY -> world.cut((from, to) -> from == memberIndex && to == other);
            case HEAL -> world.cut((from, to) -> false);
            case LOSSY -> world.network(new ViewNetwork(0.3, 0.1, 0.3, 60));
            case CALM -> world.network(ViewNetwork.CALM);
            case WAIT -> {
                // Time alone passes.
            }
        }
    }

    private static void check(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }
}
