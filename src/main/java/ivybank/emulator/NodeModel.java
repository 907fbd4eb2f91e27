package ivybank.emulator;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A node: cores that are shared evenly by what is worked on (egalitarian processor sharing, no request faster than one core),
 * a bounded queue before them, connections that cost work and are capped, a cold start, and the jam of one that was held
 * overdriven for a while.
 */
final class NodeModel {

    private static final double STEP_MS = 50;
    /** How fast the load that it reports follows the one that it has, and the one that overdrives it. */
    private static final double REPORT_MS = 250;

    private static final double OVERDRIVEN_MS = 2000;

    /** Work in hand; ends by {@link #finished} or by being called off. */
    static final class Job {
        private final double work;
        private final double ioMs;
        private final Runnable finished;
        private final boolean slot;
        private double endsAt;
        private boolean running;
        private boolean over;

        Job(double work, double ioMs, boolean slot, Runnable finished) {
            this.work = work;
            this.ioMs = ioMs;
            this.slot = slot;
            this.finished = finished;
        }
    }

    final int id;
    final NodeSpec spec;
    final double startedMs;
    private final Simulation simulation;
    private final PriorityQueue<Job> running = new PriorityQueue<>(Comparator.comparingDouble(job -> job.endsAt));
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    /** Work that each running job has had since the beginning of time. */
    private double progress;

    private double progressedMs;
    private long wake;
    private int slotsTaken;
    private double busy;
    private double mean;
    private double chokedUntilMs = -1;
    private boolean gone;
    private boolean silent;
    private int connections;
    private final double[] coldWork = new double[64];
    private final ColdNodeLoad coldLoad = new ColdNodeLoad(FleetRun.WORK);
    /** Figures of the whole run. */
    int mostConnections;

    int choked;
    long refused;
    double worstCold;
    final Seconds begun = new Seconds();

    NodeModel(int id, NodeSpec spec, double startedMs, Simulation simulation) {
        this.id = id;
        this.spec = spec;
        this.startedMs = startedMs;
        this.simulation = simulation;
        this.progressedMs = simulation.nowMs();
        simulation.after(STEP_MS, this::step);
    }

    /** The part of its capacity that is warm. */
    double warmth() {
        double ageMs = simulation.nowMs() - startedMs;
        return startedMs <= 0 || ageMs >= spec.coldMs()
                ? 1
                : spec.coldFrom() + (1 - spec.coldFrom()) * ageMs / spec.coldMs();
    }

    private double capacity() {
        double choke = simulation.nowMs() < chokedUntilMs ? spec.chokeSlower() : 1;
        double tax = spec.fullTax() * connections / spec.connections();
        return Math.max(0.01, spec.cores() * warmth() * (1 - tax) / choke);
    }

    private double ratePerMs() {
        return running.isEmpty() || silent ? 0 : spec.speed() * Math.min(1, capacity() / running.size());
    }

    private void advance() {
        progress += ratePerMs() * (simulation.nowMs() - progressedMs);
        progressedMs = simulation.nowMs();
    }

    private void step() {
        if (gone) {
            return;
        }
        advance();
        double now = running.isEmpty() ? 0 : Math.min(1, running.size() / capacity());
        busy += (now - busy) * STEP_MS / REPORT_MS;
        mean += (running.size() + waiting.size() - mean) * STEP_MS / OVERDRIVEN_MS;
        if (spec.chokeAt() > 0 && choked == 0 && mean > spec.cores() + spec.chokeAt() * Math.sqrt(spec.cores())) {
            choked++;
            chokedUntilMs = simulation.nowMs() + spec.chokeMs();
        }
        schedule();
        simulation.after(STEP_MS, this::step);
    }

    /** How much of its cores is in use, as it reports. */
    double busy() {
        return busy;
    }

    int connections() {
        return connections;
    }

    boolean gone() {
        return gone;
    }

    boolean silent() {
        return silent;
    }

    /** From now on, or no longer, it takes what comes and answers nothing. */
    void silence(boolean on) {
        advance();
        silent = on;
        schedule();
    }

    /** Its process ends with all that it has. */
    void end() {
        gone = true;
        running.clear();
        waiting.clear();
    }

    /** Takes a connection, or refuses it at the cap; the handshake's work has to be asked for. */
    boolean connect() {
        if (gone || connections >= spec.connections()) {
            refused++;
            return false;
        }
        connections++;
        mostConnections = Math.max(mostConnections, connections);
        begun.count(simulation.nowMs());
        return true;
    }

    void disconnect() {
        connections--;
    }

    /** Begins a handshake's work. */
    Job handshake(Runnable finished) {
        Job job = new Job(spec.handshakeWork(), 0, false, finished);
        coldArrival(spec.handshakeWork(), false);
        run(job);
        return job;
    }

    /** Takes a request, or null where its queue is full. */
    Job request(double work, double ioMs, Runnable finished) {
        if (waiting.size() >= spec.queue()) {
            return null;
        }
        Job job = new Job(work, ioMs, true, finished);
        coldArrival(work, true);
        if (slotsTaken < spec.slots()) {
            slotsTaken++;
            run(job);
        } else {
            waiting.addLast(job);
        }
        return job;
    }

    /** Stops work that nobody waits for any more. */
    void callOff(Job job) {
        if (job.over || gone) {
            return;
        }
        advance();
        if (job.running) {
            running.remove(job);
        } else {
            waiting.remove(job);
        }
        over(job);
        schedule();
    }

    private void over(Job job) {
        boolean hadSlot = job.running;
        job.over = true;
        if (!job.slot) {
            return;
        }
        if (hadSlot) {
            slotsTaken--;
            Job next = waiting.pollFirst();
            if (next != null) {
                slotsTaken++;
                run(next);
            }
        }
    }

    private void run(Job job) {
        advance();
        job.running = true;
        job.endsAt = progress + job.work;
        running.add(job);
        schedule();
    }

    private void schedule() {
        long mine = ++wake;
        double rate = ratePerMs();
        if (rate > 0) {
            simulation.after((running.peek().endsAt - progress) / rate, () -> due(mine));
        }
    }

    private void due(long asked) {
        if (asked != wake || gone || silent) {
            return;
        }
        advance();
        while (!running.isEmpty() && running.peek().endsAt <= progress + 1e-9) {
            Job job = running.poll();
            if (job.ioMs > 0) {
                simulation.after(job.ioMs, () -> finish(job));
            } else {
                finish(job);
            }
        }
        schedule();
    }

    private void finish(Job job) {
        if (!job.over && !gone) {
            over(job);
            job.finished.run();
        }
    }

    /** What it was sent while it was cold. */
    ColdNodeLoad coldLoad() {
        return coldLoad;
    }

    /** What all of its cores do in a millisecond, as warm as it is now. */
    private double fullSpeed() {
        return spec.cores() * spec.speed() * warmth();
    }

    /** The contract on cold nodes: work that came within two seconds over what the node can do in them. */
    private void coldArrival(double work, boolean request) {
        double ageMs = simulation.nowMs() - startedMs;
        if (startedMs <= 0 || ageMs >= spec.coldMs()) {
            return;
        }
        if (request) {
            coldLoad.requested(simulation.nowMs(), work, fullSpeed());
        } else {
            coldLoad.connected(simulation.nowMs(), work, fullSpeed());
        }
        int second = (int) (ageMs / 1000);
        coldWork[second % coldWork.length] += work;
        double both = coldWork[second % coldWork.length] + (second > 0 ? coldWork[(second - 1) % coldWork.length] : 0);
        worstCold = Math.max(worstCold, both / (2000 * fullSpeed()));
    }
}
