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
    record Outcome(List<SocketChannel> connections, IOException failure, double tookMs) {}

    private static final long IDLE_THREAD_S = 10;
    private static final double NANOS_IN_MS = 1e6;

    private final ServerSocketChannel listener;
    private final Consumer<Outcome> receiver;
    private final ThreadPoolExecutor thread;
    private boolean busy;

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

    /** Begins a round of up to so many accepts, unless one goes on. */
    void begin(EventLoop loop, int most) {
        if (busy) {
            return;
        }
        busy = true;
        try {
            thread.execute(() -> {
                Outcome outcome = accept(most);
                loop.execute(() -> end(outcome));
            });
        } catch (RuntimeException | Error e) { // no thread can be made for the moment
            loop.execute(() -> end(new Outcome(List.of(), new IOException("nothing can be accepted: " + e, e), 0)));
        }
    }

    private Outcome accept(int most) {
        long fromNanos = System.nanoTime();
        List<SocketChannel> accepted = new ArrayList<>();
        IOException failure = null;
        try {
            for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
                accepted.add(next);
                if (accepted.size() >= most) {
                    break;
                }
            }
        } catch (IOException e) {
            failure = e;
        } catch (RuntimeException | Error e) {
            failure = new IOException("nothing can be accepted: " + e, e);
        }
        return new Outcome(accepted, failure, (System.nanoTime() - fromNanos) / NANOS_IN_MS);
    }

    private void end(Outcome outcome) {
        busy = false;
        receiver.accept(outcome);
    }
}
