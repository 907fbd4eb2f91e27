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

    record Step(What what, int seat, int other, int ms) {}

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
                long life = world.life(by);
                check(life >= own.getOrDefault(by, 0L), "the life of " + by + " falls");
                own.put(by, life);
                for (ViewSnapshot.Seen seen : world.view(by).members()) {
                    int key = (int) (seated[by] * 1000 + by * 10L + seen.seat());
                    check(
                            seen.life() >= highest.getOrDefault(key, 0L),
                            "the life of " + seen.seat() + " falls at " + by);
                    highest.put(key, seen.life());
                    if (!seen.standing().lives()) {
                        ended.merge(key, seen.life(), Math::max);
                    } else {
                        check(
                                seen.life() > ended.getOrDefault(key, 0L),
                                seen.seat() + " is back at " + by + " with its old life");
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
        int seat = step.seat;
        int other = (seat + step.other) % SEATS;
        boolean runs = world.lives(seat) && !frozen[seat];
        switch (step.what) {
            case START -> {
                if (!world.lives(seat)) {
                    seated[seat]++;
                    world.start(seat);
                }
            }
            case KILL -> {
                if (world.lives(seat)) {
                    frozen[seat] = false;
                    world.kill(seat);
                }
            }
            case LEAVE -> {
                if (runs) {
                    world.leave(seat);
                }
            }
            case FREEZE -> {
                if (runs) {
                    frozen[seat] = true;
                    world.freeze(seat);
                }
            }
            case THAW -> {
                if (frozen[seat]) {
                    frozen[seat] = false;
                    world.thaw(seat);
                }
            }
            case CUT -> world.cut((from, to) -> from < seat != to < seat);
            case CUT_ONE_WAY -> world.cut((from, to) -> from == seat && to == other);
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
