package ivybank.rehearsal.scenario;

import ivybank.rehearsal.scenario.Scenario.Fault;
import ivybank.rehearsal.scenario.Scenario.Kind;
import ivybank.rehearsal.scenario.Scenario.RequestClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One draw of a scenario: all that chance decides is decided here, before anything runs, so that arrivals wait for no
 * answer and the same seed gives the same day.
 */
public record Plan(Scenario scenario, long seed, List<NodeSpec> nodes, List<Arrival> arrivals, List<Target> targets) {

    /** A node at the start of the day; {@code speed} is that of a core against the yardstick. */
    public record NodeSpec(String host, Kind kind, String site, double speed) {}

    /**
     * A first try, in ms from the start of the day. {@code work} and {@code wait} are what it takes of a yardstick core and
     * of others; {@code tries} the patience of each try, in ms.
     */
    public record Arrival(
            int number,
            double atMs,
            int sidecar,
            int requestClass,
            String key,
            double workMs,
            double waitMs,
            double patienceMs,
            double backoffMs,
            boolean honours) {}

    /** A fault with the numbers of the nodes or sidecars that it meets. */
    public record Target(Fault fault, List<Integer> members) {}

    /** Draws the day; the parts of the draw do not depend on one another. */
    public static Plan draw(Scenario scenario, long seed) {
        SplittableRandom root = new SplittableRandom(seed);
        List<NodeSpec> nodes = nodes(scenario, root.split());
        List<Arrival> arrivals = arrivals(scenario, root.split());
        SplittableRandom faults = root.split();
        return new Plan(
                scenario, seed, nodes, arrivals, targets(Storm.spelledOut(scenario, seed), nodes.size(), faults));
    }

    private static List<NodeSpec> nodes(Scenario scenario, SplittableRandom random) {
        List<NodeSpec> nodes = new ArrayList<>();
        double all = scenario.kinds().stream().mapToDouble(Kind::share).sum();
        int count = scenario.fleet().nodes();
        for (int i = 0; i < count; i++) {
            double at = (i + 0.5) / count * all;
            Kind kind = scenario.kinds().get(scenario.kinds().size() - 1);
            for (Kind each : scenario.kinds()) {
                at -= each.share();
                if (at < 0) {
                    kind = each;
                    break;
                }
            }
            nodes.add(new NodeSpec(
                    "n-" + Long.toHexString(random.nextLong() >>> 32),
                    kind,
                    "site-" + i % scenario.fleet().sites(),
                    between(kind.speed(), random)));
        }
        return nodes;
    }

    private static List<Arrival> arrivals(Scenario scenario, SplittableRandom random) {
        List<Arrival> arrivals = new ArrayList<>();
        Scenario.Traffic traffic = scenario.traffic();
        double[] worksMs = scenario.classes().stream()
                .mapToDouble(spec -> between(spec.workMs(), random))
                .toArray();
        double[] waitsMs = scenario.classes().stream()
                .mapToDouble(spec -> between(spec.waitMs(), random))
                .toArray();
        double allShares =
                scenario.classes().stream().mapToDouble(RequestClass::share).sum();
        double weights = traffic.skew() + traffic.sidecars() - 1;
        double most = traffic.rate() * (1 + traffic.swing());
        double lengthMs = scenario.lengthS() * 1000;
        for (double atMs = gap(most, random); atMs < lengthMs; atMs += gap(most, random)) {
            double now = traffic.rate() * (1 + traffic.swing() * Math.sin(atMs / 3000));
            if (random.nextDouble() * most > now) {
                continue;
            }
            double who = random.nextDouble() * weights;
            int sidecar = who < traffic.skew() ? 0 : Math.min(traffic.sidecars() - 1, 1 + (int) (who - traffic.skew()));
            int requestClass = 0;
            for (double at = random.nextDouble() * allShares;
                    requestClass < scenario.classes().size() - 1;
                    requestClass++) {
                at -= scenario.classes().get(requestClass).share();
                if (at < 0) {
                    break;
                }
            }
            // Half is fixed and half exponential: the spread of real work without its rarest giants.
            double workMs = worksMs[requestClass] * (0.5 + 0.5 * exponential(random));
            double waitMs = waitsMs[requestClass] * (0.5 + 0.5 * exponential(random));
            Scenario.Clients clients = scenario.clients();
            arrivals.add(new Arrival(
                    arrivals.size(),
                    atMs,
                    sidecar,
                    requestClass,
                    Long.toHexString(random.nextLong()),
                    workMs,
                    waitMs,
                    scenario.classes().get(requestClass).deadlineMs() * between(clients.tryShare(), random),
                    between(clients.backoffMs(), random),
                    random.nextDouble() < clients.honour()));
        }
        return arrivals;
    }

    private static List<Target> targets(Scenario scenario, int nodes, SplittableRandom random) {
        List<Target> targets = new ArrayList<>();
        List<List<Integer>> orders = new ArrayList<>();
        for (Fault fault : scenario.faults()) {
            int all = fault.kind().ofSidecars() ? scenario.traffic().sidecars() : nodes;
            List<Integer> order = new ArrayList<>();
            for (int i = 0; i < all; i++) {
                order.add(i);
            }
            for (int i = all - 1; i > 0; i--) {
                int other = random.nextInt(i + 1);
                Integer kept = order.get(i);
                order.set(i, order.get(other));
                order.set(other, kept);
            }
            boolean alike = fault.like() > 0 && orders.get(fault.like() - 1).size() == all;
            orders.add(alike ? orders.get(fault.like() - 1) : order);
            if (!fault.members().isEmpty()) {
                targets.add(new Target(fault, fault.members()));
                continue;
            }
            int count = (int) Math.round(fault.part() * all);
            targets.add(new Target(
                    fault,
                    List.copyOf(orders.get(orders.size() - 1).subList(0, Math.max(fault.part() > 0 ? 1 : 0, count)))));
        }
        targets.sort(Comparator.comparingDouble(target -> target.fault().atS()));
        return targets;
    }

    private static double gap(double rate, SplittableRandom random) {
        return 1000 / rate * exponential(random);
    }

    private static double exponential(SplittableRandom random) {
        return -Math.log(1 - random.nextDouble());
    }

    private static double between(double[] pair, SplittableRandom random) {
        return pair[0] + (pair[1] - pair[0]) * random.nextDouble();
    }
}
