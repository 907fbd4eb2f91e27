package ivybank.daemon;

import io.netty.channel.EventLoop;
import ivybank.client.ClientServer;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.Log;
import ivybank.handover.HandoverSnapshot;
import ivybank.handover.HandoverSnapshotFiles;
import ivybank.supervision.EventLoopTasks;
import ivybank.supervision.PeriodicTask;
import ivybank.supervision.SupervisedTask;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Leaves word of what this process knows for the others of its sidecar, and passes on what they left: all of it to a process
 * that begins, and what they have in hand while they are here. Files are read and written on a thread of its own.
 */
final class Handover {

    /** How often word is left while another process reads it, and while none does. */
    private static final long TOGETHER_MS = 50;

    private static final int ALONE_TIMES = 20;
    /** The event loop is asked for what it knows, and may be held up: the next round asks again. */
    private static final long LONGEST_ANSWER_MS = 1000;
    /** What another process holds beside its connections, and may have opened since it was heard of. */
    private static final int HELD_BESIDE = 40;

    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final ClientServer server;
    private final DescriptorBudget descriptors;
    private final Clock clock;
    private final Log log;
    private final HandoverSnapshotFiles files;
    private final ScheduledExecutorService thread;
    private volatile boolean company;
    // Used by the thread alone.
    private int rounds;
    private boolean toldElsewhere;
    private String failure;

    Handover(
            Path folder,
            EventLoop loop,
            RequestDispatcher dispatcher,
            ClientServer server,
            DescriptorBudget descriptors,
            Clock clock,
            Log log) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.server = server;
        this.descriptors = descriptors;
        this.clock = clock;
        this.log = log;
        files = new HandoverSnapshotFiles(folder, ProcessHandle.current().pid(), log::line);
        thread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread its = new Thread(task, "handover");
            its.setDaemon(true);
            return its;
        });
    }

    /** Takes over what the process before this one has left, if there is any; before this one serves. */
    void takeOver() {
        double nowMs = clock.monotonicMs();
        Optional<HandoverSnapshot> newest =
                others().stream().max(Comparator.comparingDouble(HandoverSnapshot::writtenMs));
        newest.ifPresent(memory -> {
            log.line("taking over what another process has learned of "
                    + memory.learned().nodes().size() + " nodes, " + Math.round(nowMs - memory.writtenMs())
                    + " ms ago, believed to " + Math.round(100 * memory.confidence(nowMs)) + "%");
            loop.execute(() -> dispatcher.recall(memory.learned(), memory.confidence(nowMs)));
        });
    }

    SupervisedTask start() {
        round(); // before the first connection is accepted
        return PeriodicTask.start("handover", thread, clock, log, TOGETHER_MS, this::round);
    }

    /** Tells whether another process of this sidecar is here. */
    void company(boolean another) {
        company = another;
    }

    private void round() {
        if (company || toldElsewhere) {
            tellElsewhere();
        }
        if (company || rounds++ % ALONE_TIMES == 0) {
            leave();
        }
    }

    private List<HandoverSnapshot> others() {
        try {
            return files.others(clock.monotonicMs());
        } catch (IOException e) {
            fails("what other processes have left can't be read: " + e);
            return List.of();
        }
    }

    private void tellElsewhere() {
        double nowMs = clock.monotonicMs();
        Map<String, Integer> out = new HashMap<>();
        int inHand = 0;
        int held = company ? HELD_BESIDE : 0;
        for (HandoverSnapshot memory : company ? others() : List.<HandoverSnapshot>of()) {
            if (memory.isFresh(nowMs)) {
                inHand += memory.inHand();
                held += memory.descriptors();
                memory.learned().nodes().forEach((host, node) -> out.merge(host, node.inFlight(), Integer::sum));
            }
        }
        int requests = inHand;
        int heldElsewhere = held;
        toldElsewhere = company;
        EventLoopTasks.execute(loop, () -> {
            dispatcher.elsewhere(out, requests);
            server.setOtherProcessRequests(requests);
            descriptors.setUsedByOtherProcess(heldElsewhere);
        });
    }

    private void leave() {
        try {
            files.write(CompletableFuture.supplyAsync(() -> dispatcher.memory(descriptors.used()), loop)
                    .get(LONGEST_ANSWER_MS, TimeUnit.MILLISECONDS));
            failure = null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | ExecutionException | TimeoutException | RuntimeException e) {
            fails("what this process has learned is not on file: " + e);
        }
    }

    private void fails(String how) {
        if (!how.equals(failure)) {
            log.line("handover: " + how);
        }
        failure = how;
    }
}
