package ivybank.control;

import ivybank.operations.MaintenanceState;
import java.util.concurrent.CompletionStage;

/** The sidecar as the admin endpoint sees it. Called on the thread of the admin endpoint. */
public interface AdminTarget {

    /** Returns whether this process can serve now. */
    boolean isServing();

    /** Returns whether a node with this id is known. */
    CompletionStage<Boolean> isKnownNode(String node);

    /** Returns the view of the fleet as JSON, or null where the sidecar has no peers. */
    CompletionStage<String> fleetView();

    /** Notifies the sidecar whether another process of it is running. */
    void siblingPresent(boolean present);

    /** Applies a maintenance state as a whole; completes when it is in effect. */
    CompletionStage<Void> applyMaintenance(MaintenanceState state);
}
