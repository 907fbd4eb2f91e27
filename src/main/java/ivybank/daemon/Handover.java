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
 * Shares the learned state of this process with the other processes of its sidecar through files: a starting process
 * takes over all of it, and running processes exchange their load. Files are read and written on a separate thread.
 */
final class Handover {

    /**
     * The write interval while another process reads the files. While none does, a file is written once per {@link
     * #INTERVALS_PER_WRITE_ALONE} such intervals.
     */
    private static final long WRITE_INTERVAL_MS = 50;

    private static final int INTERVALS_PER_WRITE_ALONE = 20;
    /** The time to wait for the event loop's state; where the loop is stalled for longer, the next round asks again. */
    private static final long EVENT_LOOP_TIMEOUT_MS = 1000;
    /** Descriptors that another process holds besides its connections, or may have opened since its last file. */
    private static final int EXTRA_DESCRIPTORS = 40;

    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final ClientServer server;
    private final DescriptorBudget descriptors;
    private final Clock clock;
    private final Log log;
    private final HandoverSnapshotFiles files;
    private final ScheduledExecutorService executor;
    private SharedCallTable calls; // null: its file could not be made
    private volatile boolean siblingPresent;
    private volatile boolean siblingReady;
    // Used on the handover thread only.
    private int roundCount;
    private boolean loadReported;
    private String lastFailure;

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
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "handover");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Shares the calls that must not run twice; called before this process serves. */
    void shareCalls(Path folder) {
        try {
            calls = SharedCallTable.create(folder, ProcessHandle.current().pid(), clock.monotonicMs());
            EventLoopTasks.execute(loop, () -> dispatcher.shareCalls(calls));
        } catch (IOException e) {
            logFailure("the calls of this process can't be shared: " + e);
        }
    }

    /** Takes over the state that the previous process has left, if any; called before this process serves. */
    void takeOver() {
        double nowMs = clock.monotonicMs();
        Optional<HandoverSnapshot> newest =
                readOthers().stream().max(Comparator.comparingDouble(HandoverSnapshot::writtenMs));
        newest.ifPresent(snapshot -> {
            log.line("taking over what another process has learned of "
                    + snapshot.learned().nodes().size() + " nodes, " + Math.round(nowMs - snapshot.writtenMs())
                    + " ms ago, with a confidence of " + Math.round(100 * snapshot.confidence(nowMs)) + "%");
            loop.execute(() -> dispatcher.restore(snapshot.learned(), snapshot.confidence(nowMs)));
        });
    }

    /** Starts the exchange of files; the first file is written before this returns. */
    SupervisedTask start() {
        round(); // a file exists before the first connection is accepted
        return PeriodicTask.start("handover", executor, clock, log, WRITE_INTERVAL_MS, this::round);
    }

    /** Sets whether another process of this sidecar is running. */
    void siblingPresent(boolean present) {
        siblingPresent = present;
    }

    /** Returns whether another process of this sidecar can serve clients, or can as soon as this one leaves them to it. */
    boolean isSiblingReady() {
        return siblingPresent && siblingReady;
    }

    private void round() {
        if (siblingPresent || loadReported) {
            reportSiblingLoad();
        }
        if (siblingPresent || roundCount++ % INTERVALS_PER_WRITE_ALONE == 0) {
            if (calls != null) {
                calls.refresh(clock.monotonicMs(), log);
            }
            writeSnapshot();
        }
    }

    private List<HandoverSnapshot> readOthers() {
        try {
            return files.others(clock.monotonicMs());
        } catch (IOException e) {
            logFailure("the files of other processes cannot be read: " + e);
            return List.of();
        }
    }

    private void reportSiblingLoad() {
        double nowMs = clock.monotonicMs();
        Map<String, Integer> inFlight = new HashMap<>();
        int unanswered = 0;
        int usedDescriptors = siblingPresent ? EXTRA_DESCRIPTORS : 0;
        boolean ready = false;
        for (HandoverSnapshot snapshot : siblingPresent ? readOthers() : List.<HandoverSnapshot>of()) {
            if (snapshot.isFresh(nowMs)) {
                ready = true; // its first snapshot comes right before it serves
                unanswered += snapshot.unansweredRequests();
                usedDescriptors += snapshot.descriptors();
                snapshot.learned().nodes().forEach((host, node) -> inFlight.merge(host, node.inFlight(), Integer::sum));
            }
        }
        siblingReady = ready;
        int requests = unanswered;
        int siblingDescriptors = usedDescriptors;
        loadReported = siblingPresent;
        EventLoopTasks.execute(loop, () -> {
            dispatcher.siblingLoad(inFlight, requests);
            server.setOtherProcessRequests(requests);
            descriptors.setUsedByOtherProcess(siblingDescriptors);
        });
    }

    private void writeSnapshot() {
        try {
            files.write(CompletableFuture.supplyAsync(() -> dispatcher.snapshot(descriptors.used()), loop)
                    .get(EVENT_LOOP_TIMEOUT_MS, TimeUnit.MILLISECONDS));
            lastFailure = null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | ExecutionException | TimeoutException | RuntimeException e) {
            logFailure("the state of this process could not be written: " + e);
        }
    }

    private void logFailure(String message) {
        if (!message.equals(lastFailure)) {
            log.line("handover: " + message);
        }
        lastFailure = message;
    }
}
