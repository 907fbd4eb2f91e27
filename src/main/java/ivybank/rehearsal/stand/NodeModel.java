package ivybank.rehearsal.stand;

import ivybank.rehearsal.scenario.Scenario.Choke;
import ivybank.rehearsal.scenario.Scenario.Cold;
import ivybank.rehearsal.scenario.Scenario.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A node's machine: cores that work off a queue, a start that is cold, and what it takes to fall over. Pure: the clock
 * comes in with each call, in ms, and never goes back. Work is in ms of a yardstick core.
 */
final class NodeModel {

    /** What the first work of a window may be above the budget: chance, not a push. */
    private static final double SLACK_JOBS = 4;

    /** One piece of work, and the time that it then waits on others; {@code tag} is its owner's. */
    static final class Job {
        final Object tag;
        private final double workMs;
        private final double waitMs;
        private double endsMs;
        private boolean onCore;
        private boolean gone;

        Job(Object tag, double workMs, double waitMs) {
            this.tag = tag;
            this.workMs = workMs;
            this.waitMs = waitMs;
        }
    }

    private record Sent(double atMs, double workMs) {}

    private final Kind kind;
    private final double speed;
    private final Cold cold;
    private final Choke choke;
    private final double bornMs; // negative infinity: warm
    private final Deque<Job> queue = new ArrayDeque<>();
    private final PriorityQueue<Job> running = new PriorityQueue<>(Comparator.comparingDouble((Job job) -> job.endsMs));
    private final Deque<Sent> window = new ArrayDeque<>();
    private double windowMs;
    private double taken; // of the machine, by others
    private int busy;
    private boolean fallen;
    private double crowdedSinceMs = Double.NaN;
    private double idleSinceMs = Double.NaN;
    private boolean choked;
    private double pushed; // the most that a window held, in parts of its budget

    /** A node that started at {@code bornMs}; negative infinity for one that is warm. */
    NodeModel(Kind kind, double speed, Cold cold, Choke choke, double bornMs) {
        this.kind = kind;
        this.speed = speed;
        this.cold = cold;
        this.choke = choke;
        this.bornMs = bornMs;
    }

    /** The part of its capacity that it has by now: rises evenly from the cold share. */
    double warmth(double nowMs) {
        double age = (nowMs - bornMs) / (cold.warmS() * 1000);
        return Math.min(1, cold.from() + (1 - cold.from()) * Math.max(0, age));
    }

    /** How much work it can do in a ms, neighbours left out. */
    double capacity(double nowMs) {
        return kind.cores() * speed * warmth(nowMs);
    }

    /** Whether it has turned slower for having held too much for too long. */
    boolean choked() {
        return choked;
    }

    private void watchCrowd(double nowMs) {
        boolean crowded = held() > kind.cores() + choke.at() * Math.sqrt(kind.cores());
        boolean idle = busy < kind.cores();
        crowdedSinceMs = !crowded ? Double.NaN : Double.isNaN(crowdedSinceMs) ? nowMs : crowdedSinceMs;
        idleSinceMs = !idle ? Double.NaN : Double.isNaN(idleSinceMs) ? nowMs : idleSinceMs;
        if (choke.slower() > 1 && nowMs - crowdedSinceMs >= choke.overS() * 1000) {
            choked = true;
        } else if (choked && nowMs - idleSinceMs >= choke.restS() * 1000) {
            choked = false;
        }
    }

    /** Another program takes this part of the machine. */
    void neighbour(double part) {
        taken = part;
    }

    boolean fallen() {
        return fallen;
    }

    /** The most that was sent to it while cold, in parts of what makes it fall. */
    double pushed() {
        return pushed;
    }

    /** Parts of its cores that work, and what it holds. */
    double utilisation() {
        return (double) busy / kind.cores();
    }

    int held() {
        return queue.size() + running.size();
    }

    /** Whether there is room for one more. */
    boolean hasRoom() {
        return !fallen && queue.size() < kind.queuePerCore() * kind.cores() + (busy < kind.cores() ? 1 : 0);
    }

    /** Takes a job, which {@link #advance} tells the end of; {@link #sent} comes first. */
    Job submit(double nowMs, Object tag, double workMs, double waitMs) {
        Job job = new Job(tag, workMs, waitMs);
        queue.add(job);
        startNext(nowMs);
        watchCrowd(nowMs);
        return job;
    }

    /**
     * Counts what was sent to it, also what it then turns away. The contract: within any window of so long, not more than
     * so many times what a cold node can do then; more than that and it has fallen.
     */
    void sent(double nowMs, double workMs) {
        double spanMs = cold.fallS() * 1000;
        while (!window.isEmpty() && window.peekFirst().atMs <= nowMs - spanMs) {
            windowMs -= window.pollFirst().workMs;
        }
        window.addLast(new Sent(nowMs, workMs));
        windowMs += workMs;
        if (warmth(nowMs) < 1) {
            double budgetMs =
                    cold.fallMultiple() * spanMs * (capacity(Math.max(bornMs, nowMs - spanMs)) + capacity(nowMs)) / 2;
            double over = (windowMs - SLACK_JOBS * workMs) / budgetMs;
            pushed = Math.max(pushed, over);
            if (over > 1) {
                fallen = true;
                queue.clear();
                running.clear();
            }
        }
    }

    private void startNext(double nowMs) {
        while (busy < kind.cores() && !queue.isEmpty()) {
            Job job = queue.poll();
            if (!job.gone) {
                busy++;
                job.onCore = true;
                job.endsMs = nowMs + job.workMs * (choked ? choke.slower() : 1) / (speed * warmth(nowMs) * (1 - taken));
                running.add(job);
            }
        }
    }

    /** Ends a job early; what it has not used is free for others. */
    void cancel(double nowMs, Job job) {
        if (job.gone) {
            return;
        }
        job.gone = true;
        queue.remove(job);
        if (running.remove(job) && job.onCore) {
            busy--;
        }
        startNext(nowMs);
    }

    /** When something ends next; positive infinity if nothing does. */
    double nextMs() {
        return running.isEmpty() ? Double.POSITIVE_INFINITY : running.peek().endsMs;
    }

    /** Lets time go on until now; the jobs that have ended meanwhile, in order. */
    List<Job> advance(double nowMs) {
        List<Job> done = new ArrayList<>();
        while (!running.isEmpty() && running.peek().endsMs <= nowMs) {
            Job job = running.poll();
            if (job.onCore) {
                job.onCore = false;
                busy--;
                startNext(job.endsMs);
                job.endsMs += job.waitMs;
                running.add(job);
            } else {
                job.gone = true;
                done.add(job);
            }
        }
        watchCrowd(nowMs);
        return done;
    }
}
