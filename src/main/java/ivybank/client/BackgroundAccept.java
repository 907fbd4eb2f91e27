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
     * @param tookMs how long it took, in milliseconds
     */
    record Outcome(List<AcceptedConnection> connections, IOException failure, double tookMs) {}

    private static final long IDLE_THREAD_S = 10;
    private static final double NANOS_IN_MS = 1e6;

    private final ServerSocketChannel listener;
    private final Consumer<Outcome> receiver;
    private final ThreadPoolExecutor thread;
    private boolean busy;
    /**
     * Since when somebody stands in the backlog whom accepts have not taken, or null; used by the thread alone. Java hands back an
     * interrupted accept as one that found nobody, so that this ends only with a round that has taken all.
     */
    private Long waitingSinceNanos;

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
            loop.execute(() -> end(new Outcome(List.of(), new IOException("nothing can be accepted: " + e, e), 0)));
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
        if (failure != null || expected && accepted.isEmpty()) {
            waitingSinceNanos = waitingSinceNanos == null ? (Long) fromNanos : waitingSinceNanos;
        } else if (!accepted.isEmpty() && accepted.size() < most) {
            waitingSinceNanos = null; // all were taken
        }
        return new Outcome(accepted, failure, (System.nanoTime() - fromNanos) / NANOS_IN_MS);
    }

    private AcceptedConnection accepted(SocketChannel socket, long fromNanos) {
        long nowNanos = System.nanoTime();
        long sinceNanos = waitingSinceNanos == null ? fromNanos : waitingSinceNanos;
        return new AcceptedConnection(socket, nowNanos, (nowNanos - sinceNanos) / NANOS_IN_MS);
    }

    private void end(Outcome outcome) {
        busy = false;
        receiver.accept(outcome);
    }
}
