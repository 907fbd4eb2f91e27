package ivybank.rehearsal.scenario;

import ivybank.rehearsal.scenario.Scenario.Fault;
import ivybank.rehearsal.scenario.Scenario.FaultKind;
import ivybank.rehearsal.scenario.Scenario.Quality;
import ivybank.rehearsal.scenario.Scenario.Ways;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/** Draws what a storm is made of: faults with members that are named, so that they can be printed, played again and left out. */
public final class Storm {

    private static final FaultKind[] KINDS = {FaultKind.PARTITION, FaultKind.LINK, FaultKind.FREEZE, FaultKind.KILL};
    private static final double LEAST_S = 0.5;
    private static final double MOST_S = 6;
    private static final long OWN = 0x73746f726dL; // a storm's draws shift no others

    private Storm() {}

    /** The scenario with what its storms are made of after its faults; storms themselves do nothing. */
    public static Scenario spelledOut(Scenario scenario, long seed) {
        SplittableRandom random = new SplittableRandom(seed ^ OWN);
        List<Fault> faults = new ArrayList<>(scenario.faults());
        for (Fault fault : scenario.faults()) {
            if (fault.kind() == FaultKind.STORM) {
                faults.addAll(drawn(fault, scenario.traffic().sidecars(), random.split()));
            }
        }
        return faults.size() == scenario.faults().size() ? scenario : with(scenario, faults);
    }

    /** The same without the storms: what can be printed, and played again without their draw. */
    public static Scenario printable(Scenario scenario, long seed) {
        Scenario all = spelledOut(scenario, seed);
        return without(all, index -> all.faults().get(index).kind() == FaultKind.STORM);
    }

    /** The scenario without some of its faults; what meets the same as one that is left out is drawn by itself. */
    public static Scenario without(Scenario scenario, IntPredicate leftOut) {
        List<Fault> faults = scenario.faults();
        List<Fault> kept = new ArrayList<>();
        int[] number = new int[faults.size() + 1]; // from the old one to the new one, both from 1
        for (int i = 0; i < faults.size(); i++) {
            Fault fault = faults.get(i);
            if (!leftOut.test(i)) {
                kept.add(new Fault(
                        fault.kind(),
                        fault.atS(),
                        fault.forS(),
                        fault.part(),
                        fault.size(),
                        fault.extra(),
                        number[fault.like()],
                        fault.members(),
                        fault.ways()));
                number[i + 1] = kept.size();
            }
        }
        return with(scenario, kept);
    }

    /** The scenario with other faults. */
    public static Scenario with(Scenario like, List<Fault> faults) {
        return new Scenario(
                like.name(),
                like.title(),
                like.lengthS(),
                like.seed(),
                like.fleet(),
                like.kinds(),
                like.cold(),
                like.choke(),
                like.classes(),
                like.traffic(),
                like.clients(),
                like.limits(),
                like.rules(),
                like.roster(),
                like.peers(),
                faults,
                like.floor());
    }

    private static List<Fault> drawn(Fault storm, int sidecars, SplittableRandom random) {
        List<Fault> faults = new ArrayList<>();
        double[] busyUntilS = new double[sidecars]; // by a fault of its process
        double endS = storm.atS() + storm.forS();
        for (double atS = storm.atS() + random.nextDouble() * storm.size();
                atS < endS - LEAST_S;
                atS += storm.size() * (0.5 + random.nextDouble())) {
            double forS = Math.min(endS - atS, LEAST_S + random.nextDouble() * (MOST_S - LEAST_S));
            FaultKind kind = KINDS[random.nextInt(KINDS.length)];
            List<Integer> some = some(
                    sidecars, kind == FaultKind.PARTITION ? 1 + random.nextInt(Math.max(1, sidecars / 2)) : 1, random);
            int first = some.get(0);
            boolean own = kind == FaultKind.FREEZE || kind == FaultKind.KILL;
            if (own && busyUntilS[first] > atS) {
                continue; // it is away already
            }
            busyUntilS[first] = own ? atS + forS + MOST_S : busyUntilS[first];
            Ways ways = switch (kind) {
                case PARTITION ->
                    new Ways(
                            List.of(),
                            List.of(),
                            random.nextInt(4) == 0 && sidecars > 2
                                    ? List.of(others(sidecars, some).get(0))
                                    : List.of(),
                            false,
                            Quality.CUT);
                case LINK ->
                    new Ways(
                            some,
                            List.of(others(sidecars, some).get(random.nextInt(sidecars - 1))),
                            List.of(),
                            random.nextBoolean(),
                            quality(random));
                default -> null;
            };
            faults.add(new Fault(
                    kind,
                    round(atS),
                    round(kind == FaultKind.KILL ? 0 : forS),
                    0,
                    kind == FaultKind.KILL ? round(forS / 3) : 0,
                    0,
                    0,
                    kind == FaultKind.LINK ? List.of() : some,
                    ways));
        }
        faults.sort(Comparator.comparingDouble(Fault::atS));
        return faults;
    }

    private static Quality quality(SplittableRandom random) {
        return switch (random.nextInt(5)) {
            case 0 -> Quality.CUT;
            case 1 ->
                new Quality(
                        false,
                        round(0.1 + 0.4 * random.nextDouble()),
                        new double[] {0, 0},
                        0,
                        0,
                        Double.POSITIVE_INFINITY,
                        0,
                        0);
            case 2 ->
                new Quality(
                        false,
                        0,
                        new double[] {0, Math.round(200 * random.nextDouble())},
                        0.2,
                        0.2,
                        Double.POSITIVE_INFINITY,
                        0,
                        0);
            case 3 -> new Quality(false, 0, new double[] {0, 0}, 0, 0, Double.POSITIVE_INFINITY, 0.3, 0.3);
            default -> new Quality(false, 0, new double[] {0, 0}, 0, 0, 1, 0, 0);
        };
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }

    private static List<Integer> some(int all, int count, SplittableRandom random) {
        List<Integer> left = new ArrayList<>();
        for (int i = 0; i < all; i++) {
            left.add(i);
        }
        List<Integer> some = new ArrayList<>();
        while (some.size() < count) {
            some.add(left.remove(random.nextInt(left.size())));
        }
        return some;
    }

    static List<Integer> others(int all, List<Integer> than) {
        List<Integer> others = new ArrayList<>();
        for (int i = 0; i < all; i++) {
            if (!than.contains(i)) {
                others.add(i);
            }
        }
        return others;
    }
}
