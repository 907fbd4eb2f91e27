package ivybank.daemon;

import io.netty.channel.EventLoop;
import ivybank.common.Clock;
import ivybank.upstream.UpstreamAttempt;
import java.util.concurrent.TimeUnit;

/**
 * The timer of each request, which runs from its last byte until its answer is complete or known to be a long one: it ends a
 * request that nothing has answered, and a short answer that was begun and does not come to its end. Used on one event loop.
 */
final class RequestTimers {

    /** Ends what its timer has found to be overdue. */
    interface Listener {

        /** Nothing has answered the request, and its deadline is near. */
        void unanswered(Exchange exchange);

        /** The answer that is being forwarded has not come to its end in time. */
        void unfinished(Exchange exchange);
    }

    private static final double MICROS_PER_MS = 1000;
    /** The interval between looks at an answer whose client is reading slowly. */
    private static final double SLOW_CLIENT_INTERVAL_MS = 100;

    private final EventLoop loop;
    private final Clock clock;
    private final Listener listener;

    RequestTimers(EventLoop loop, Clock clock, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
    }

    /** Starts the timer of a request whose deadline is known. */
    void start(Exchange exchange) {
        if (exchange.streamingAttempt >= 0) {
            answerStarted(exchange);
            return;
        }
        double backstopMs = exchange.deadline.atMs() - RequestDeadline.backstopMs(exchange.request);
        schedule(exchange, backstopMs - clock.nowMs(), () -> listener.unanswered(exchange));
    }

    /** Notes that the answer of a request is being forwarded from now on. */
    void answerStarted(Exchange exchange) {
        stop(exchange);
        if (!exchange.isArriving() && !exchange.streaming().hasLongAnswer()) {
            schedule(exchange, exchange.deadline.lastByteMs() - clock.nowMs(), () -> checkAnswer(exchange));
        }
    }

    /** Ends an answer that is overdue by its node. A client that reads slowly may take its time. */
    private void checkAnswer(Exchange exchange) {
        UpstreamAttempt streaming = exchange.streaming();
        if (exchange.closed || streaming.hasLongAnswer()) {
            return;
        }
        if (streaming.isAnswerHeldBack()) {
            schedule(exchange, SLOW_CLIENT_INTERVAL_MS, () -> checkAnswer(exchange));
        } else {
            listener.unfinished(exchange);
        }
    }

    /** Stops the timer of a request, if it has one. */
    void stop(Exchange exchange) {
        if (exchange.timer != null) {
            exchange.timer.cancel(false);
        }
    }

    private void schedule(Exchange exchange, double delayMs, Runnable task) {
        exchange.timer = loop.schedule(task, Math.max(0, (long) (delayMs * MICROS_PER_MS)), TimeUnit.MICROSECONDS);
    }
}
