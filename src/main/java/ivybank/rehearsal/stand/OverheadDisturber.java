package ivybank.rehearsal.stand;

import ivybank.rehearsal.latency.Disturbance;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/** Disturbs a sidecar once a second while it is measured, from a thread of its own. */
final class OverheadDisturber implements AutoCloseable {

    private static final long EVERY_MS = 1000;
    private static final double MS_IN_S = 1000;

    private final Disturbance disturbance;
    private final SidecarProcess sidecar;
    private final IntConsumer changeList;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private ScheduledFuture<?> task;
    private int round;

    /** {@code changeList} takes the number of the change, from 0. */
    OverheadDisturber(Disturbance disturbance, SidecarProcess sidecar, IntConsumer changeList) {
        this.disturbance = disturbance;
        this.sidecar = sidecar;
        this.changeList = changeList;
    }

    /** Disturbs from so many seconds after now on. */
    void begin(double afterS) {
        long afterMs = (long) (afterS * MS_IN_S);
        task = timer.scheduleAtFixedRate(this::disturb, afterMs, EVERY_MS, TimeUnit.MILLISECONDS);
    }

    private void disturb() {
        try {
            switch (disturbance) {
                case LIST_CHANGE -> changeList.accept(round++);
                case SIGHUP -> sidecar.signal("HUP");
                case COLLECTION -> sidecar.collectGarbage();
                case REST, HANGING_NODE, BAD_ANSWERS, SECOND_ANSWERS -> {
                    // Nothing that happens at an instant.
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e); // no further disturbance; end() tells
        }
    }

    /** Disturbs no more. Throws if a disturbance could not be made: the run was not what it says. */
    void end() throws IOException {
        if (task.isDone()) {
            throw new IOException("could not disturb the sidecar by " + disturbance);
        }
        task.cancel(false);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
