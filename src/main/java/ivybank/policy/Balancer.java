package ivybank.policy;

import ivybank.handover.Heir;
import java.util.List;
import java.util.Objects;

/**
 * The decisions of one sidecar: what happens is told by the methods below, in the order in which it happened; what is
 * to be done comes back through {@link Actions}, during the call. An instance is used by one thread at a time, reads no
 * clock of its own ({@code nowMs} only grows) and shares nothing with other instances.
 *
 * <p>Identifiers of requests and upstreams are opaque. The attempts of a request are numbered 0, 1, 2 and so on, in
 * the order in which they were sent.
 */
public interface Balancer extends Heir {

    /** The sidecar begins. Called once, before anything else. */
    void start(double nowMs);

    /** Discovery says something about the upstreams; {@code entries} is empty for {@link ListKind#FAILED}. */
    void upstreams(double nowMs, ListKind kind, List<Upstream> entries);

    /** A client's request has come in and is owed exactly one final answer. */
    void request(double nowMs, Request request);

    /** The last byte of a request that was arriving has come: its time counts from now. */
    void arrived(double nowMs, int request, double timeoutMs);

    /** The answer of a streamed request has begun; this attempt now belongs to the client. */
    void streamStarted(double nowMs, int request, int attempt, double elapsedMs);

    /** An attempt has ended. Each attempt that was sent ends exactly once. */
    void attemptEnded(double nowMs, AttemptEnd end);

    /** The client no longer waits; nothing is owed to it. */
    void clientLeft(double nowMs, int request);

    /** A timer asked for by {@link Actions#timer} is due. */
    void timer(double nowMs, int token);

    /** A health probe has ended; of no concern to a balancer that asks for none. */
    default void probeEnded(double nowMs, int upstream, Outcome outcome, double elapsedMs, double[] report) {}

    /** Another sidecar has sent a message; of no concern to a balancer that shares nothing. */
    default void peerMessage(double nowMs, int sender, byte[] message) {}

    /** What a balancer may ask of its sidecar. */
    interface Actions {

        /** Sends an attempt; the sidecar opens a connection where none is free. */
        void send(int request, int upstream, double timeoutMs);

        /** Final answer: not served, and coming again is harmless. {@code retryAfterMs} 0 gives no advice. */
        void refuse(int request, double retryAfterMs);

        /** Final answer: not served, and nothing is known of its effect. */
        void fail(int request);

        /** Stops waiting for an attempt; it still ends, usually as {@link Outcome#CANCELLED}. */
        void cancel(int request, int attempt);

        /** Asks for a health probe. */
        void probe(int upstream);

        /** Asks for {@link Balancer#timer} after a delay; there is no way to unset it. */
        void timer(double delayMs, int token);

        /** Opens or closes the standing subscription to the list of upstreams. */
        void subscribe(boolean on);

        /** Asks for the full list once. */
        void fetchList();

        /** Closes this sidecar's idle connections to an upstream. */
        void closeIdle(int upstream);

        /** How many sidecars there are, as far as is known, where so many were told. */
        default int sidecars(int configured) {
            return configured;
        }

        /** A line for on-call staff. */
        void log(String line);
    }

    /** How a list of upstreams relates to what was known before. */
    enum ListKind {
        /** Only the entries that changed. */
        DELTA,
        /** Everything; an upstream that is not in it is gone. */
        FULL,
        /** Everything, as this sidecar last had it before it was restarted; perhaps old. */
        CACHED,
        /** A subscription or a fetch failed; what was known stands. */
        FAILED
    }

    /** What discovery says of an upstream. */
    enum Status {
        DRAINING,
        READY,
        GONE
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        /** An error answer; it may have run. */
        ERROR(false),
        /** Served. */
        OK(false),
        /** Turned away unseen. */
        REJECTED(true),
        /** No answer in time; it may have run, or may still. */
        TIMEOUT(false),
        /** No connection could be made. */
        CONNECT_FAILED(true),
        /** The connection broke; it may have run. */
        RESET(false),
        /** Called off by this sidecar; it may have run. */
        CANCELLED(false),
        /** Never sent: the request was over, out of time or out of attempts. */
        NOT_SENT(true);

        private final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        /** Whether the request is known not to have run in this attempt. */
        public boolean provesNotRun() {
            return provesNotRun;
        }
    }

    /** What a second run of a request would do. */
    enum Effect {
        /** Nothing: safe to repeat. */
        SAFE,
        /** Dropped by upstreams of one group, for a while. */
        KEYED,
        /** Harm. */
        UNSAFE
    }

    /** The upstreams that drop the repeats of a {@link Effect#KEYED} request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** One upstream as discovery lists it; {@code startedMs} 0 means long ago. */
    record Upstream(int id, Status status, double startedMs, int zone, int kind, int cell, double weight) {
        public Upstream {
            Objects.requireNonNull(status, "status");
            require(weight >= 0, "weight of an upstream must not be negative");
        }
    }

    /**
     * One request; {@code tenant} is meaningless where {@link Settings#tenants} is empty. Of one that is {@code arriving}
     * the last byte is still to come, and no upstream begins it before that.
     */
    record Request(int id, int requestClass, int tenant, double timeoutMs, boolean clientRetry, boolean arriving) {
        public Request {
            require(!Double.isNaN(timeoutMs), "time-out of a request must be a number");
        }
    }

    /** The end of one attempt; {@code requestDone} where the client has its final answer. */
    record AttemptEnd(
            int request,
            int attempt,
            int upstream,
            Outcome outcome,
            double elapsedMs,
            boolean requestCompleted,
            double[] report) {
        public AttemptEnd {
            Objects.requireNonNull(outcome, "outcome");
            Objects.requireNonNull(report, "report");
        }
    }

    /** A class of requests; {@code lateWorth} is the part of its worth that an answer after the aim still has. */
    record RequestClass(
            String name,
            double aimMs,
            double deadlineMs,
            double worth,
            double lateWorth,
            Effect effect,
            Group group,
            double windowMs,
            boolean streamed) {
        public RequestClass {
            Objects.requireNonNull(effect, "effect");
            Objects.requireNonNull(group, "group");
            require(aimMs > 0 && deadlineMs > 0, "aim and deadline of a class must be positive");
            require(worth >= 0 && lateWorth >= 0, "worth of a class must not be negative");
        }
    }

    /** Who shares the service, and up to which rate over all sidecars at full worth. */
    record Tenant(String name, double portion, double quotaPerS) {
        public Tenant {
            require(portion >= 0 && quotaPerS >= 0, "share of a tenant must not be negative");
        }
    }

    /** What the sidecar is allowed. */
    record Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean probes, double maxRetryAfterMs) {
        public Limits {
            require(maxAttempts >= 1, "at least one attempt must be allowed");
        }
    }

    /** How fast a started upstream becomes able, and how often an unsubscribed sidecar must ask for the list. */
    record Contract(double coldFrom, double coldMs, double overloadFactor, double overloadMs, double askEveryMs) {
        public Contract {
            require(coldFrom > 0 && coldFrom <= 1, "cold share must be above 0 and at most 1");
            require(coldMs >= 0 && overloadMs >= 0, "times of the contract must not be negative");
            require(overloadFactor > 0 && askEveryMs > 0, "figures of the contract must be positive");
        }
    }

    /** How service is judged: weights of the whole, the worst class and the worst tenant; the price of a probe. */
    record Goal(double whole, double worstClass, double worstTenant, double probeCost) {
        public Goal {
            require(probeCost >= 0, "price of a probe must not be negative");
        }
    }

    /** All that a balancer is told at the start. */
    record Settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            int sidecars,
            boolean subscribesToList,
            boolean clientsMarkRetries,
            double tickMs,
            double overShareWorth,
            List<String> reportFields,
            Limits limits,
            Contract contract,
            Goal goal) {
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            reportFields = List.copyOf(reportFields);
            Objects.requireNonNull(limits, "limits");
            Objects.requireNonNull(contract, "contract");
            Objects.requireNonNull(goal, "goal");
            require(!classes.isEmpty(), "at least one request class is needed");
            require(sidecars >= 1, "at least one sidecar is needed");
        }

        boolean anySafe() {
            return classes.stream().anyMatch(spec -> spec.effect() == Effect.SAFE);
        }

        double shortestAimMs() {
            return classes.stream().mapToDouble(RequestClass::aimMs).min().orElseThrow();
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
