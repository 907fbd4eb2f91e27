package ivybank.client;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Accepts connections on a separate thread, so that the event loop cannot block: Java's accept retries immediately when the
 * system reports ECONNABORTED, and returns only when it reports something else. Used on the event loop, which receives the
 * outcome.
 */
final class BackgroundAccept {

    /**
     * The outcome of one round of accepts.
     *
     * @param connections the accepted connections
     * @param failure what ended the round, or null if the backlog was found empty or the maximum was reached
     * @param backlogMayRemain whether clients may still be in the backlog
     * @param durationMs the time since the round was requested, in milliseconds
     */
    record Outcome(
            List<AcceptedConnection> connections, IOException failure, boolean backlogMayRemain, double durationMs) {}

    private static final long THREAD_IDLE_TIMEOUT_S = 10;
    private static final double NANOS_IN_MS = 1e6;
    private static final long EMPTY_BACKLOG_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ServerSocketChannel listener;
    private final Consumer<Outcome> receiver;
    private final Executor executor;
    private boolean busy;
    // Used by the accepting thread alone.
    /** The time since when clients have been in the backlog that accepts did not take, or null. */
    private Long waitingSinceNanos;
    /** The time of the last round that failed, or that found nothing although a client was known to be waiting. */
    private long lastInconclusiveNanos = System.nanoTime();

    /** @param receiver receives the outcome of each round, on the event loop */
    BackgroundAccept(ServerSocketChannel listener, Consumer<Outcome> receiver) {
        this(listener, receiver, newExecutor());
    }

    /** @param executor runs the rounds, one at a time */
    BackgroundAccept(ServerSocketChannel listener, Consumer<Outcome> receiver, Executor executor) {
        this.listener = listener;
        this.receiver = receiver;
        this.executor = executor;
    }

    private static Executor newExecutor() {
        ThreadPoolExecutor executor = new ThreadPoolExecutor(
                1,
                1,
                THREAD_IDLE_TIMEOUT_S,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(),
                BackgroundAccept::newDaemonThread);
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }

    private static Thread newDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "accept");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns whether a round is running. */
    boolean isBusy() {
        return busy;
    }

    /**
     * Starts a round of up to {@code max} accepts, unless one is running. Its connections count as waiting from now on, however
     * late the thread gets to run.
     *
     * @param expected whether a client is known to be waiting: an accept that finds none has been interrupted then
     */
    void start(EventLoop loop, int max, boolean expected) {
        if (busy) {
            return;
        }
        busy = true;
        long requestedNanos = System.nanoTime();
        try {
            executor.execute(() -> {
                Outcome outcome = accept(max, expected, requestedNanos);
                loop.execute(() -> complete(outcome));
            });
        } catch (RuntimeException | Error e) { // no thread can be created at the moment
            loop.execute(() -> complete(new Outcome(List.of(), new IOException("accept failed: " + e, e), true, 0)));
        }
    }

    private Outcome accept(int max, boolean expected, long requestedNanos) {
        List<AcceptedConnection> accepted = new ArrayList<>();
        IOException failure = null;
        try {
            for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
                accepted.add(accepted(next, requestedNanos));
                if (accepted.size() >= max) {
                    break;
                }
            }
        } catch (IOException e) {
            failure = e;
        } catch (RuntimeException | Error e) {
            failure = new IOException("accept failed: " + e, e);
        }
        boolean inconclusive = failure != null || expected && accepted.isEmpty();
        updateWaitingSince(accepted.size(), max, inconclusive, requestedNanos);
        boolean backlogMayRemain = waitingSinceNanos != null || accepted.size() >= max;
        return new Outcome(accepted, failure, backlogMayRemain, (System.nanoTime() - requestedNanos) / NANOS_IN_MS);
    }

    private AcceptedConnection accepted(SocketChannel socket, long requestedNanos) {
        long nowNanos = System.nanoTime();
        long sinceNanos = waitingSinceNanos == null ? requestedNanos : waitingSinceNanos;
        return new AcceptedConnection(socket, nowNanos, (nowNanos - sinceNanos) / NANOS_IN_MS);
    }

    /**
     * Updates the time since when clients have been waiting. Java reports an interrupted accept like one that finds the
     * backlog empty. An empty result therefore proves an empty backlog only if no client was expected and the last
     * inconclusive round is long enough ago.
     */
    private void updateWaitingSince(int acceptedCount, int max, boolean inconclusive, long requestedNanos) {
        if (inconclusive) {
            waitingSinceNanos = waitingSinceNanos == null ? (Long) requestedNanos : waitingSinceNanos;
            lastInconclusiveNanos = requestedNanos;
        } else if (acceptedCount > 0
                ? acceptedCount < max
                : requestedNanos - lastInconclusiveNanos > EMPTY_BACKLOG_DELAY_NANOS) {
            waitingSinceNanos = null;
        }
    }

    private void complete(Outcome outcome) {
        busy = false;
        receiver.accept(outcome);
    }
}
