package ivybank.control;

import ivybank.operations.MaintenanceState;
import java.util.concurrent.CompletionStage;

/** The sidecar, as the operators' door sees it. Called on the door's thread. */
public interface AdminTarget {

    /** Whether this process can serve now. */
    boolean serves();

    /** Whether there is a node of this id. */
    CompletionStage<Boolean> knows(String node);

    /** The view of the other sidecars as JSON; null where there is none. */
    CompletionStage<String> fleet();

    /** Tells whether another process of this sidecar is here. */
    void company(boolean another);

    /** Makes these orders hold, all of them; done when they do. */
    CompletionStage<Void> obey(MaintenanceState orders);
}
