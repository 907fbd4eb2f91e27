package ivybank.rehearsal.stand;

import io.netty.channel.EventLoop;
import ivybank.rehearsal.referee.Referee;
import ivybank.rehearsal.scenario.Plan;
import ivybank.rehearsal.scenario.Scenario;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;

/** What the parts of one run share: the plan, the world of the stand-ins and the threads. */
final class RunContext {

    final Plan plan;
    final Scenario scenario;
    final World world;
    final EventLoop loop;
    final Referee referee;
    /** Threads that wait for processes. */
    final ExecutorService workers;

    final RunRecorder recorder;

    RunContext(Plan plan, World world, Referee referee, ExecutorService workers) {
        this.plan = plan;
        this.scenario = plan.scenario();
        this.world = world;
        this.loop = world.loop;
        this.referee = referee;
        this.workers = workers;
        this.recorder = new RunRecorder(world);
    }

    /** Runs a task on the event loop and waits for its end. */
    void onLoop(Runnable task) throws InterruptedException {
        loop.submit(task).sync();
    }

    /** Calls a task on the event loop and waits for its result. */
    <T> T callOnLoop(Callable<T> task) throws InterruptedException {
        return loop.submit(task).sync().getNow();
    }

    /** Records an event from a thread beside the event loop. */
    void eventFromWorker(String what) {
        loop.execute(() -> recorder.event(what));
    }

    /** The longest deadline of any class of requests, ms. */
    double longestDeadlineMs() {
        return scenario.classes().stream()
                .mapToDouble(Scenario.RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }
}
