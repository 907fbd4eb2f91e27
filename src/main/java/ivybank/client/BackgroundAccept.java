package ivybank.client;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Accepts connections on a thread of its own. Guards the event loop: Java's accept asks the system again at once where that reports
 * ECONNABORTED, and comes back only when it reports something else. Used on the event loop, which is told the outcome.
 */
final class BackgroundAccept {

    /**
     * What one round of accepts brought.
     *
     * @param connections those that were accepted
     * @param failure what ended the round, or null where nobody else waited or enough were accepted
     * @param somebodyLeft whether somebody may stand in the backlog still
     * @param tookMs how long it took, in milliseconds
     */
    record Outcome(List<AcceptedConnection> connections, IOException failure, boolean somebodyLeft, double tookMs) {}

    private static final long IDLE_THREAD_S = 10;
    private static final double NANOS_IN_MS = 1e6;
    private static final long NOBODY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ServerSocketChannel listener;
    private final Consumer<Outcome> receiver;
    private final ThreadPoolExecutor thread;
    private boolean busy;
    // Used by the thread alone.
    /** Since when somebody stands in the backlog whom accepts have not taken, or null. */
    private Long waitingSinceNanos;
    /** When an accept has last found nobody, or failed, although somebody was there. */
    private long leftNanos = System.nanoTime();

    /** @param receiver takes the outcome of each round, on the event loop */
    BackgroundAccept(ServerSocketChannel listener, Consumer<Outcome> receiver) {
        this.listener = listener;
        this.receiver = receiver;
        thread = new ThreadPoolExecutor(
                1, 1, IDLE_THREAD_S, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), BackgroundAccept::daemon);
        thread.allowCoreThreadTimeOut(true);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "accept");
        thread.setDaemon(true);
        return thread;
    }

    /** Whether a round goes on. */
    boolean isBusy() {
        return busy;
    }

    /**
     * Begins a round of up to so many accepts, unless one goes on.
     *
     * @param expected whether somebody is known to be there: an accept that finds nobody was interrupted then
     */
    void begin(EventLoop loop, int most, boolean expected) {
        if (busy) {
            return;
        }
        busy = true;
        try {
            thread.execute(() -> {
                Outcome outcome = accept(most, expected);
                loop.execute(() -> end(outcome));
            });
        } catch (RuntimeException | Error e) { // no thread can be made for the moment
            loop.execute(
                    () -> end(new Outcome(List.of(), new IOException("nothing can be accepted: " + e, e), true, 0)));
        }
    }

    private Outcome accept(int most, boolean expected) {
        long fromNanos = System.nanoTime();
        List<AcceptedConnection> accepted = new ArrayList<>();
        IOException failure = null;
        try {
            for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
                accepted.add(accepted(next, fromNanos));
                if (accepted.size() >= most) {
                    break;
                }
            }
        } catch (IOException e) {
            failure = e;
        } catch (RuntimeException | Error e) {
            failure = new IOException("nothing can be accepted: " + e, e);
        }
        boolean left = failure != null || expected && accepted.isEmpty();
        noteWaiting(accepted.size(), most, left, fromNanos);
        boolean somebodyLeft = waitingSinceNanos != null || accepted.size() >= most;
        return new Outcome(accepted, failure, somebodyLeft, (System.nanoTime() - fromNanos) / NANOS_IN_MS);
    }

    private AcceptedConnection accepted(SocketChannel socket, long fromNanos) {
        long nowNanos = System.nanoTime();
        long sinceNanos = waitingSinceNanos == null ? fromNanos : waitingSinceNanos;
        return new AcceptedConnection(socket, nowNanos, (nowNanos - sinceNanos) / NANOS_IN_MS);
    }

    /**
     * Java hands back an interrupted accept as one that found nobody. So that shows that nobody waits only where nobody was expected
     * to, and has not been for a while.
     */
    private void noteWaiting(int taken, int most, boolean left, long fromNanos) {
        if (left) {
            waitingSinceNanos = waitingSinceNanos == null ? (Long) fromNanos : waitingSinceNanos;
            leftNanos = fromNanos;
        } else if (taken > 0 ? taken < most : fromNanos - leftNanos > NOBODY_AFTER_NANOS) {
            waitingSinceNanos = null;
        }
    }

    private void end(Outcome outcome) {
        busy = false;
        receiver.accept(outcome);
    }
}
