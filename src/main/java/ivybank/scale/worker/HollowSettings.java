package ivybank.scale.worker;

import ivybank.policy.Balancer.Contract;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Goal;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.Limits;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import java.util.List;

/** Settings of the decision module for sidecars that serve nobody: they only have to be valid. */
final class HollowSettings {

    static final Settings SETTINGS = new Settings(
            List.of(new RequestClass("read", 1000, 4000, 1, 0, Effect.SAFE, Group.ALL, 600, false)),
            List.of(),
            1,
            true,
            false,
            1,
            0.1,
            List.of(),
            new Limits(4, true, true, false, 2000),
            new Contract(0.25, 10_000, 3, 2000, 10_000),
            new Goal(1, 0, 0, 0));

    private HollowSettings() {}
}
