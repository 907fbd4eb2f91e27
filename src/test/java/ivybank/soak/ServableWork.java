package ivybank.soak;

import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.scenario.Scenario.Fault;
import ivybank.soak.SyscallStorm.Episode;
import ivybank.testing.SyscallFaults.Call;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * What could be served in spite of a plan's faults: the requests whose sidecar has, between their arrival and the time by which
 * their answer is wanted, some time on end in which it runs and its calls for clients succeed. Times are in milliseconds.
 */
final class ServableWork {

    /** Without these nothing is served. */
    private static final Set<Call> NEEDED = EnumSet.of(
            Call.SOCKET,
            Call.CONNECT,
            Call.ACCEPT,
            Call.SOCKET_READ,
            Call.SOCKET_WRITE,
            Call.EPOLL_CTL,
            Call.FILE_WRITE,
            Call.FILE_SYNC,
            Call.FULL_FOLDER);
    /** A few times what a request takes where nothing fails. */
    private static final double ENOUGH_MS = 150;

    private static final double STEP_MS = 10;
    /** From the signal to the kill, and from a kill until the next process is ready. */
    private static final double TERM_MS = 3700;

    private static final double START_MS = 6000;
    private static final double MS_IN_SECOND = 1000;

    /** A span in which a sidecar can't serve. */
    private record Span(double fromMs, double toMs) {}

    private final Plan plan;
    private final List<List<Span>> blocked = new ArrayList<>();

    ServableWork(Plan plan, List<Episode> episodes) {
        this.plan = plan;
        for (int i = 0; i < SoakScenario.SIDECARS; i++) {
            blocked.add(new ArrayList<>());
        }
        episodes.stream()
                .filter(each -> NEEDED.contains(each.call()))
                .forEach(each -> each.processes()
                        .forEach(process -> blocked.get(process).add(new Span(each.fromMs(), each.toMs()))));
        plan.targets().forEach(this::addSignals);
    }

    private void addSignals(Plan.Target target) {
        Fault fault = target.fault();
        double atMs = fault.atS() * MS_IN_SECOND;
        double lastsMs = fault.forS() * MS_IN_SECOND;
        Span span = switch (fault.kind()) {
            case KILL -> new Span(atMs, atMs + lastsMs + fault.size() * MS_IN_SECOND + START_MS);
            case TERM -> new Span(atMs, atMs + lastsMs + TERM_MS + fault.size() * MS_IN_SECOND + START_MS);
            case FREEZE -> new Span(atMs, atMs + lastsMs);
            default -> null;
        };
        if (span != null) {
            target.members().forEach(member -> blocked.get(member).add(span));
        }
    }

    /** The part of the worth that could be served, from 0 to 1. */
    double part() {
        double all = 0;
        double servable = 0;
        for (Plan.Arrival arrival : plan.arrivals()) {
            Scenario.RequestClass spec = plan.scenario().classes().get(arrival.requestClass());
            all += spec.worth();
            servable += isServable(arrival, spec.aimMs()) ? spec.worth() : 0;
        }
        return servable / all;
    }

    private boolean isServable(Plan.Arrival arrival, double aimMs) {
        double freeMs = 0;
        for (double atMs = arrival.atMs(); atMs < arrival.atMs() + aimMs; atMs += STEP_MS) {
            freeMs = isBlocked(arrival.sidecar(), atMs) ? 0 : freeMs + STEP_MS;
            if (freeMs >= ENOUGH_MS) {
                return true;
            }
        }
        return false;
    }

    private boolean isBlocked(int sidecar, double atMs) {
        return blocked.get(sidecar).stream().anyMatch(span -> span.fromMs() <= atMs && atMs < span.toMs());
    }
}
