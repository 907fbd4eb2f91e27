package ivybank.daemon;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.operator.OperatorFile.StoreSettings;
import ivybank.policy.Balancer.Settings;
import ivybank.promises.PromiseKeeper;
import ivybank.store.RealDisk;

/** Opens what promises are kept in. A class of its own, so that a sidecar without it loads nothing of the store. */
final class KeptPromises {

    private KeptPromises() {
    }

    static PromiseKeeper open(StoreSettings store, Settings settings, ScheduledExecutorService loop, Clock clock, Log log)
            throws IOException {
        return new PromiseKeeper(store.promises(), settings, RealDisk.take(store.folder()), store.limits(), store.degrade(), loop,
                clock, log);
    }
}
