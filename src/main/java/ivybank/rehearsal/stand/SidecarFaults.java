package ivybank.rehearsal.stand;

import ivybank.rehearsal.referee.Views;
import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.scenario.Scenario.Fault;
import ivybank.rehearsal.scenario.Scenario.Ways;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Faults of sidecars and of the ways between them. Lives on the event loop, with workers that wait for processes. */
final class SidecarFaults {

    private static final double END_AFTER_TERM_MS = 700;
    private static final double LONGEST_DEADLINE_MS = 3000;

    private final RunContext run;
    private final SidecarGroup sidecars;
    private final PeerViews peers;
    private final List<Process> twins = new ArrayList<>();

    SidecarFaults(RunContext run, SidecarGroup sidecars, PeerViews peers) {
        this.run = run;
        this.sidecars = sidecars;
        this.peers = peers;
    }

    /** Starts sidecars that have not run yet. */
    void join(List<Integer> hit) {
        hit.forEach(number -> run.workers.execute(() -> sidecars.start(number, peers)));
    }

    /** Kills sidecars or tells them to end, spread over the time of the fault, and starts them again. */
    void restart(Fault fault, List<Integer> hit) {
        double apartMs = hit.size() > 1 ? fault.forS() * 1000 / (hit.size() - 1) : 0;
        for (int i = 0; i < hit.size(); i++) {
            int number = hit.get(i);
            run.world.after(i * apartMs, () -> restart(fault, number));
        }
    }

    private void restart(Fault fault, int number) {
        boolean killed = fault.kind() == Scenario.FaultKind.KILL;
        double endMs = killed ? 0 : Math.min(LONGEST_DEADLINE_MS, run.longestDeadlineMs()) + END_AFTER_TERM_MS;
        run.recorder.event("sidecar " + number + (killed ? " is killed with " : " is told to end with ")
                + sidecars.client(number).openTries() + " calls open");
        sidecars.process(number).expectEnd();
        if (killed) {
            sidecars.down(number);
            peers.process(number, Views.Process.OFF, "end of sidecar " + number);
        } else {
            peers.process(number, Views.Process.BETWEEN, "sidecar " + number + " is told to end");
            sidecars.toldToEnd(number);
            // What is lost before its time is up is lost for no reason.
            run.world.after(endMs, () -> sidecars.down(number));
        }
        run.workers.execute(() -> endAndStart(fault, number, endMs));
    }

    private void endAndStart(Fault fault, int number, double endMs) {
        SidecarProcess sidecar = sidecars.process(number);
        try {
            if (endMs > 0) {
                sidecar.signal("TERM");
                Thread.sleep((long) endMs);
            }
            sidecar.kill();
            run.onLoop(() -> peers.process(number, Views.Process.OFF, "end of sidecar " + number));
            Thread.sleep((long) (fault.size() * 1000));
            sidecars.start(number, peers);
        } catch (IOException e) {
            run.eventFromWorker("sidecar " + number + " could not be ended: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills sidecars for good. */
    void lose(List<Integer> hit) {
        run.recorder.event("sidecars " + hit + " are killed and stay away");
        for (int number : hit) {
            SidecarProcess sidecar = sidecars.process(number);
            sidecar.expectEnd();
            sidecars.down(number);
            peers.process(number, Views.Process.OFF, "end of sidecar " + number);
            run.workers.execute(sidecar::kill);
        }
    }

    /**
     * Stops processes for a while. What they did not do is nobody's fault until their requests of that time are over.
     */
    void freeze(Fault fault, List<Integer> hit) {
        run.recorder.event("sidecars " + hit + " are stopped");
        for (int number : hit) {
            sidecars.down(number);
            if (fault.forS() > run.scenario.peers().pauseS()) { // a shorter stop is none to the others
                peers.process(number, Views.Process.BETWEEN, "stop of sidecar " + number);
            }
            run.workers.execute(() -> stopForAWhile(fault, number));
        }
    }

    /** Called on a worker: starting the program that sends a signal may take long. */
    private void stopForAWhile(Fault fault, int number) {
        try {
            run.onLoop(() -> sidecars.stops().stopping(number, run.world.nowMs()));
            stopAndContinue(fault, number);
            run.onLoop(() -> sidecars.stops().continued(number, run.world.nowMs()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stopAndContinue(Fault fault, int number) throws InterruptedException {
        SidecarProcess sidecar = sidecars.process(number);
        try {
            sidecar.signal("STOP");
            Thread.sleep((long) (fault.forS() * 1000));
            run.onLoop(() -> goesOn(number));
            sidecar.signal("CONT");
        } catch (IOException e) {
            run.eventFromWorker(sidecar + " could not be stopped for a while: " + e.getMessage());
        }
    }

    private void goesOn(int number) {
        run.recorder.event("sidecar " + number + " goes on");
        run.referee.wentOn(number, run.world.nowMs());
        peers.process(number, Views.Process.ON, "sidecar " + number + " goes on");
        double sinceMs = sidecars.downSinceMs(number);
        run.world.after(run.longestDeadlineMs(), () -> {
            if (sidecars.downSinceMs(number) == sinceMs) {
                sidecars.up(number);
            }
        });
    }

    /** Starts sidecars a second time, beside themselves. */
    void startTwice(Fault fault, List<Integer> hit) {
        hit.forEach(number -> run.workers.execute(() -> startTwin(fault, number)));
    }

    private void startTwin(Fault fault, int number) {
        try {
            Process twin = sidecars.process(number).startTwin();
            run.loop.execute(() -> {
                twins.add(twin);
                run.recorder.event("sidecar " + number + " is started a second time");
            });
            boolean ended = twin.waitFor((long) (fault.forS() * 1000), TimeUnit.MILLISECONDS);
            run.eventFromWorker("the second sidecar " + number
                    + (ended ? " has ended with exit code " + twin.exitValue() : " runs: it is killed"));
            twin.destroyForcibly();
        } catch (IOException e) {
            run.eventFromWorker("sidecar " + number + " could not be started twice: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Cuts or spoils ways between sidecars for a while: named ones, or those of the drawn ones to all others. */
    void breakWays(Fault fault, List<Integer> drawn) {
        Ways ways = resolve(fault.ways(), drawn);
        String what = describe(fault, ways);
        run.recorder.event(what);
        peers.fault(ways, true, what);
        run.world.after(fault.forS() * 1000, () -> {
            run.recorder.event("over: " + what);
            peers.fault(ways, false, "healed: " + what);
        });
    }

    private Ways resolve(Ways ways, List<Integer> drawn) {
        List<Integer> from = ways.from().isEmpty()
                ? drawn.stream().filter(each -> !ways.bridge().contains(each)).toList()
                : ways.from();
        List<Integer> to = new ArrayList<>(ways.to());
        for (int i = 0; i < sidecars.size() && ways.to().isEmpty(); i++) {
            if (!from.contains(i) && !ways.bridge().contains(i)) {
                to.add(i);
            }
        }
        return new Ways(from, to, ways.bridge(), ways.oneWay(), ways.quality());
    }

    private static String describe(Fault fault, Ways ways) {
        if (fault.kind() == Scenario.FaultKind.PARTITION) {
            return "cut of sidecars " + ways.from() + " from " + ways.to()
                    + (ways.bridge().isEmpty() ? "" : ", bridged by " + ways.bridge());
        }
        return (ways.quality().cut() ? "cut of" : "fault on") + " the ways from " + ways.from() + " to " + ways.to()
                + (ways.oneWay() ? ", one way" : "");
    }

    /** Ends the second processes that still run. */
    void close() {
        run.loop.execute(() -> twins.forEach(Process::destroyForcibly));
    }
}
