package ivybank.policy;

import ivybank.policy.Balancer.Contract;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Goal;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.Limits;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import ivybank.policy.Balancer.Tenant;
import java.util.List;

/** Creates settings for tests. */
final class Samples {

    static final double TICK_MS = 5;

    private Samples() {}

    static RequestClass requestClass(Effect effect, Group group, double worth) {
        return new RequestClass("class", 1000, 4000, worth, 0, effect, group, 600, false);
    }

    static Settings settings(RequestClass... classes) {
        return settings(1, new Limits(4, true, true, false, 0), false, List.of(), classes);
    }

    static Settings settings(int sidecars, Limits limits, boolean ask, List<Tenant> tenants, RequestClass... classes) {
        return new Settings(
                List.of(classes),
                tenants,
                sidecars,
                ask,
                true,
                TICK_MS,
                0.1,
                List.of(),
                limits,
                new Contract(0.25, 10_000, 3, 2000, 10_000),
                new Goal(1, 0, 0, 0));
    }

    static Settings safe() {
        return settings(requestClass(Effect.SAFE, Group.ALL, 1));
    }
}
