package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.exchange.ClientRequest;
import ivybank.invariants.CallHistory;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Knows which calls must not be sent because their id is in progress, or because a request with this id may have run that must not
 * run twice: its client may have left before it has read the answer. Used on one event loop.
 */
final class RepeatedCalls {

    /** The longest time for which a call is remembered, in milliseconds. */
    private static final double MAX_RETENTION_MS = 300_000;

    private final List<RequestClass> classes;
    private final Clock clock;
    private final double retentionMs;
    /** The ids of the requests that have not been answered yet. */
    private final Set<String> open = new HashSet<>();

    private final CallHistory history = new CallHistory();
    /** The ids with which another request came while they could not be used. Clients give each request an id of its own. */
    private final CallHistory contested = new CallHistory();

    private SharedCallTable shared; // null: no other process can take over

    RepeatedCalls(Settings settings, Clock clock) {
        this.classes = settings.classes();
        this.clock = clock;
        double longestMs =
                classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
        double windowMs =
                classes.stream().mapToDouble(RequestClass::windowMs).max().orElse(0);
        this.retentionMs = Math.min(MAX_RETENTION_MS, longestMs + windowMs);
    }

    /** From now on other processes of the sidecar see the calls of this one, and this one theirs. */
    void share(SharedCallTable table) {
        shared = table;
    }

    /** Returns whether a request with this id is in progress here, or was lately when another one came with it. */
    boolean isInUse(String callId) {
        return open.contains(callId) || contested.contains(callId, clock.nowMs());
    }

    /**
     * Notifies that a request is turned away because of its id. The id stays refused from now on, also when the request that it belongs
     * to is answered: whoever has sent it once may send it again.
     */
    void turnedAway(String callId) {
        contested.add(callId, clock.nowMs() + retentionMs);
        if (shared != null) {
            shared.put(callId, clock.monotonicMs() + retentionMs);
        }
    }

    /** Returns whether a request with this id may have run that must not run twice, or is in progress in another process. */
    boolean mayHaveRun(String callId) {
        return history.contains(callId, clock.nowMs())
                || shared != null && shared.isElsewhere(callId, clock.monotonicMs());
    }

    /** Notifies that a request is in progress. */
    void opened(ClientRequest request) {
        open.add(request.callId());
        if (shared != null && isProtected(request)) {
            shared.put(request.callId(), clock.monotonicMs() + retentionMs);
        }
    }

    /**
     * Notifies that a request is answered, or needs no answer any more.
     *
     * @param number its number
     * @param mayHaveRun whether it may have run
     */
    void closed(int number, ClientRequest request, boolean mayHaveRun) {
        open.remove(request.callId());
        if (!isProtected(request)) {
            return;
        }
        if (mayHaveRun) {
            history.add(request.callId(), number, clock.nowMs() + retentionMs);
            if (shared != null) {
                shared.put(request.callId(), clock.monotonicMs() + retentionMs);
            }
        } else {
            forget(request.callId());
        }
    }

    /** Notifies that a request which was closed as one that may have run is known not to have run. */
    void provedNotRun(ClientRequest request) {
        if (isProtected(request) && !open.contains(request.callId())) {
            forget(request.callId());
        }
    }

    /**
     * Notifies that the client has read the answer to the request with this number: its id does not come again for want of one. Nothing
     * is forgotten if the id belongs to another request.
     */
    void answerRead(int number, String callId) {
        if (!open.contains(callId) && history.isOwnedBy(callId, number)) {
            forget(callId);
        }
    }

    private void forget(String callId) {
        history.remove(callId);
        if (shared != null && !contested.contains(callId, clock.nowMs())) {
            shared.remove(callId);
        }
    }

    /** Returns whether a second run of the request may do harm, also at another node than the first. */
    private boolean isProtected(ClientRequest request) {
        RequestClass spec = classes.get(request.requestClass());
        return spec.effect() == Effect.UNSAFE || spec.effect() == Effect.KEYED && spec.group() != Group.ALL;
    }
}
