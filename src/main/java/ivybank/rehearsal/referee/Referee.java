package ivybank.rehearsal.referee;

import ivybank.rehearsal.scenario.Scenario.Effect;
import ivybank.rehearsal.scenario.Scenario.RequestClass;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the rules from what nodes, roster and clients saw, never from what a sidecar says of itself. Pure: it is told
 * events in the order in which they happened, with times in ms of one clock. It keeps a record of each call of the day.
 */
public final class Referee {

    /** The rules; each is worded in docs/operators/rehearsal.md. */
    public enum Rule {
        /** Each call that is taken gets exactly one final answer in time, made for it. */
        ANSWER,
        /** What may have run is not sent again beyond what its class allows. */
        REPEAT,
        /** What may have run is not refused, for a refusal says that trying again is harmless. */
        REFUSAL,
        /** Nothing new to a node that was told draining or gone. */
        DRAIN,
        /** No cold node is pushed over. */
        COLD,
        /** Nothing is sent on for a client that has left. */
        DEPARTED,
        /** What is given up is answered at once. */
        HELD_BACK,
        /** A sidecar runs for as long as nobody ends it. */
        CRASH
    }

    /** One breach: when, and what was seen. */
    public record Breach(Rule rule, double atMs, String what) {}

    /** How a node saw an attempt end. */
    public enum Ending {
        SERVED,
        ERROR,
        REJECTED,
        SPOILT,
        SILENT,
        CLOSED
    }

    /** An attempt as its node saw it. */
    public static final class Attempt {
        private final Call call;
        private final String host;
        private final String site;
        private final double begunMs;
        private Ending ending;

        private Attempt(Call call, String host, String site, double begunMs) {
            this.call = call;
            this.host = host;
            this.site = site;
            this.begunMs = begunMs;
        }
    }

    private static final class Call {
        private final int sidecar;
        private final Effect effect;
        private final double aimMs;
        private final boolean bySite;
        private final double windowMs;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private double takenMs = Double.NaN;
        private double lastEndMs = Double.NaN;
        private double leftMs = Double.NaN;
        private int open;
        private boolean answered;

        @SuppressWarnings("UnusedVariable") // written only: to be removed together with excused()
        private boolean over;

        private List<Call> family = List.of(this); // all tries of a request that has a name
        private String body; // that its client was served with
        private final List<String> served = new ArrayList<>(1);

        private Call(int sidecar, RequestClass spec) {
            this.sidecar = sidecar;
            this.effect = spec.effect();
            this.aimMs = spec.aimMs();
            this.bySite = spec.bySite();
            this.windowMs = spec.windowMs();
        }

        /** Whether a node has begun it and has not proved that it did not run. */
        private boolean mayHaveRun() {
            return attempts.stream().anyMatch(attempt -> attempt.ending != Ending.REJECTED);
        }
    }

    private static final int EXAMPLES = 20;
    private static final int OK = 200;
    private static final int FIRST_ERROR = 400;
    private static final int BUSY = 429;
    private static final int UNAVAILABLE = 503;
    /** Waiting for room, and tries to connect, are no holding back: both are bounded well under this. */
    private static final double WAIT_PART = 0.6;

    private static final double CONNECTS_MS = 1500;
    /** From the client's leaving to the last byte that may reach a node. */
    private static final double DEPARTED_MS = 300;

    private final double drainGraceMs;
    private final double marginMs;
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, List<Call>> families = new HashMap<>();
    private final List<Map<String, Double>> told = new ArrayList<>();
    private final Map<Integer, Double> wentOnMs = new HashMap<>(); // sidecars that were stopped
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Breach> examples = new ArrayList<>();

    public Referee(int sidecars, double drainGraceMs, double marginMs) {
        this.drainGraceMs = drainGraceMs;
        this.marginMs = marginMs;
        for (int i = 0; i < sidecars; i++) {
            told.add(new HashMap<>());
        }
    }

    private void breach(Rule rule, double nowMs, String what) {
        int count = counts.merge(rule, 1, Integer::sum);
        if (count <= EXAMPLES) {
            examples.add(new Breach(rule, nowMs, what));
        }
    }

    /** How often each broken rule was broken. */
    public Map<Rule, Integer> counts() {
        return Map.copyOf(counts);
    }

    /** The first breaches of each rule, in the order in which they were seen. */
    public List<Breach> examples() {
        return List.copyOf(examples);
    }

    /** Returns how many calls clients have sent, each try counted as one. */
    public int calls() {
        return calls.size();
    }

    // ---- What clients saw.

    /** A client is about to send a call to a sidecar. */
    public void call(String id, int sidecar, RequestClass spec) {
        call(id, sidecar, spec, null);
    }

    /** The same, of a request that has a name over all its tries, which must keep it from running twice. */
    public void call(String id, int sidecar, RequestClass spec, String name) {
        Call call = new Call(sidecar, spec);
        calls.put(id, call);
        if (name != null) {
            call.family = families.computeIfAbsent(sidecar + " " + spec.name() + " " + name, key -> new ArrayList<>());
            call.family.add(call);
        }
    }

    /** Its last byte is written to a connection that the sidecar's machine accepted. */
    public void taken(String id, double nowMs) {
        calls.get(id).takenMs = nowMs;
    }

    /** A whole answer has come. */
    public void answered(String id, int status, String body, double nowMs) {
        Call call = calls.get(id);
        if (call.answered) {
            breach(Rule.ANSWER, nowMs, "call " + id + " was answered twice");
            return;
        }
        call.answered = true;
        call.over = true;
        String acked = call.family.stream()
                .map(each -> each.body)
                .filter(each -> each != null)
                .findFirst()
                .orElse(null);
        if (status == OK) {
            if (call.family.stream().noneMatch(each -> each.served.contains(body))
                    || acked != null && !acked.equals(body)) {
                breach(Rule.ANSWER, nowMs, "call " + id + " was served with what no node made for it");
            }
            call.body = body;
            return;
        }
        if (acked != null && status != BUSY && status != UNAVAILABLE) {
            breach(
                    Rule.ANSWER,
                    nowMs,
                    "call " + id + " asked for what was served before and got " + status + ": the answer is lost");
        }
        boolean refused = status == BUSY || status == UNAVAILABLE;
        // A client's retry of a keyed call is dropped wherever it goes only where all nodes are one group.
        boolean harmful = call.effect == Effect.UNSAFE || call.effect == Effect.KEYED && call.bySite;
        if (refused && harmful && call.mayHaveRun()) {
            breach(
                    Rule.REFUSAL,
                    nowMs,
                    "call " + id + " was refused, and " + call.attempts.get(0).host + " had begun it");
        }
        double sinceMs = Math.max(
                Double.isNaN(call.lastEndMs) ? call.takenMs : call.lastEndMs,
                wentOnMs.getOrDefault(call.sidecar, Double.NEGATIVE_INFINITY));
        if (call.open == 0 && nowMs - sinceMs > WAIT_PART * call.aimMs + CONNECTS_MS) {
            breach(
                    Rule.HELD_BACK,
                    nowMs,
                    "call " + id + " was answered " + status + " " + Math.round(nowMs - sinceMs)
                            + " ms after anything was still tried");
        }
    }

    /** The client's time is up with no answer, and the sidecar had no reason to be silent. */
    public void unanswered(String id, double nowMs, String how) {
        Call call = calls.get(id);
        call.over = true;
        breach(Rule.ANSWER, nowMs, "call " + id + " " + how);
    }

    /** The client has left long before its time: nothing is owed, and a moment later nothing is sent on. */
    public void left(String id, double nowMs) {
        calls.get(id).over = true;
        calls.get(id).leftMs = nowMs;
    }

    /** The client no longer waits, or its sidecar was ended: nothing is owed. */
    public void excused(String id) {
        calls.get(id).over = true;
    }

    /** What a client that sent rubbish got in its time: a status, or 0 for neither an error nor a close. */
    public void rude(int sidecar, String words, int status, double nowMs) {
        if (status == 0 || status < FIRST_ERROR) {
            breach(
                    Rule.ANSWER,
                    nowMs,
                    "sidecar " + sidecar + " was sent what can't be used ("
                            + words.lines().findFirst().orElse("nothing at all") + ") and gave "
                            + (status == 0 ? "neither an error nor a close" : status));
        }
    }

    /** Whether a node has begun a call: its sidecar had read it then, and a close can't have crossed it. */
    public boolean hasBegun(String id) {
        return !calls.get(id).attempts.isEmpty();
    }

    // ---- What nodes saw.

    /** A whole request has come to a node; null where no client sent one of this id. */
    public Attempt begun(String host, String site, String id, double firstByteMs, double nowMs) {
        Call call = calls.get(id);
        if (call == null) {
            breach(Rule.REPEAT, nowMs, host + " was sent a request of id " + id + ", which no client has sent");
            return null;
        }
        Double toldMs = told.get(call.sidecar).get(host);
        if (toldMs != null && firstByteMs > toldMs + drainGraceMs + marginMs) {
            breach(
                    Rule.DRAIN,
                    nowMs,
                    "sidecar " + call.sidecar + " sent call " + id + " to " + host + " "
                            + Math.round(firstByteMs - toldMs) + " ms after it was told that it drains or is gone");
        }
        if (nowMs > call.leftMs + DEPARTED_MS + marginMs) {
            breach(
                    Rule.DEPARTED,
                    nowMs,
                    "sidecar " + call.sidecar + " sent call " + id + " to " + host + " "
                            + Math.round(nowMs - call.leftMs) + " ms after its client had left");
        }
        if (call.effect == Effect.UNSAFE) {
            call.family.stream()
                    .filter(Call::mayHaveRun)
                    .findFirst()
                    .ifPresent(before -> breach(
                            Rule.REPEAT,
                            nowMs,
                            "call " + id + " must not run twice: begun by " + before.attempts.get(0).host
                                    + ", then sent to " + host));
        }
        if (call.effect == Effect.KEYED
                && call.attempts.stream()
                        .anyMatch(earlier -> earlier.ending != Ending.REJECTED
                                && (call.bySite && !earlier.site.equals(site)
                                        || nowMs - earlier.begunMs > call.windowMs))) {
            breach(
                    Rule.REPEAT,
                    nowMs,
                    "call " + id + " was sent to " + host + " of " + site + ", outside the group or the time in"
                            + " which its key keeps it from running twice");
        }
        Attempt attempt = new Attempt(call, host, site, nowMs);
        call.attempts.add(attempt);
        call.open++;
        return attempt;
    }

    /** A node has answered an attempt, or seen its connection end; only the first end counts. */
    public void ended(Attempt attempt, Ending ending, String body, double nowMs) {
        if (attempt == null || attempt.ending != null) {
            return;
        }
        attempt.ending = ending;
        attempt.call.open--;
        attempt.call.lastEndMs = nowMs;
        if (ending == Ending.SERVED) {
            attempt.call.served.add(body);
        }
    }

    /** A cold node was sent more than it can bear and stays down. */
    public void fell(String host, double nowMs, double pushed) {
        breach(
                Rule.COLD,
                nowMs,
                host + " was cold and fell over: sent " + Math.round(100 * pushed) + "% of what it bears");
    }

    // ---- What the roster did, and the kit.

    /** A sidecar was told, or counts as told, that a node drains or is gone; the first time counts. */
    public void told(int sidecar, String host, double nowMs) {
        told.get(sidecar).putIfAbsent(host, nowMs);
    }

    /** A sidecar that was stopped goes on: what it gives up is answered at once from now on, and was not while it stood still. */
    public void wentOn(int sidecar, double nowMs) {
        wentOnMs.put(sidecar, nowMs);
    }

    /** A sidecar has begun anew: it knows only what its own configuration names. */
    public void startedAnew(int sidecar) {
        told.get(sidecar).clear();
    }

    /** A sidecar ended that nobody had ended. */
    public void crashed(int sidecar, int exitCode, double nowMs) {
        breach(Rule.CRASH, nowMs, "sidecar " + sidecar + " ended by itself with exit code " + exitCode);
    }
}
