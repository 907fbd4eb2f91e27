package ivybank.upstream;

import io.netty.channel.EventLoop;
import ivybank.policy.Balancer.Outcome;
import ivybank.tally.Stage;
import ivybank.upstream.UpstreamAttempt.Ending;
import java.util.concurrent.TimeUnit;

/** The wait of an attempt for a resting connection, a new one, or whichever of the two can be used first. */
final class ConnectionWait {

    private static final double MICROS_PER_MS = 1000;

    private final UpstreamPool pool;
    private final EventLoop loop;
    private final ConnectionOpener opener;
    private final UpstreamAttempt attempt;
    /** The resting connection reserved for this attempt, or null. */
    private UpstreamConnection resting;

    private boolean connecting;
    /** Whether the attempt has been sent or has ended. */
    private boolean completed;

    ConnectionWait(UpstreamPool pool, EventLoop loop, ConnectionOpener opener, UpstreamAttempt attempt) {
        this.pool = pool;
        this.loop = loop;
        this.opener = opener;
        this.attempt = attempt;
    }

    void awaitRest(UpstreamConnection connection, double restLeftMs) {
        resting = connection;
        loop.schedule(this::rested, (long) Math.ceil(restLeftMs * MICROS_PER_MS), TimeUnit.MICROSECONDS);
    }

    void awaitNew(boolean spare) {
        connecting = true;
        opener.open(attempt.node, spare, this::connected);
    }

    private void rested() {
        if (resting == null) {
            return;
        }
        UpstreamConnection connection = resting;
        resting = null;
        if (attempt.ended()) { // its request was cancelled meanwhile; the next request uses the connection
            pool.keepIdle(connection);
        } else if (UpstreamPool.isUsable(connection)) {
            completed = true;
            attempt.stage = Stage.REST;
            pool.send(connection, attempt);
        } else { // the node has drained or moved meanwhile
            connection.close();
            connectionUnusable();
        }
    }

    /**
     * Handles the end of a connect.
     *
     * @param connection the new connection, or null if it could not be established
     */
    private void connected(UpstreamConnection connection) {
        connecting = false;
        if (connection == null) {
            connectFailed();
        } else if (completed || attempt.ended()) {
            pool.keepIdle(connection); // the next request uses it
        } else if (UpstreamPool.leadsToNodeAddress(connection)) {
            completed = true;
            attempt.stage = Stage.CONNECT;
            returnResting();
            pool.send(connection, attempt);
        } else { // the node has drained or moved while the connection was being established
            connection.close();
            connectionUnusable();
        }
    }

    private void connectFailed() {
        if (!completed && resting == null) {
            completed = true;
            attempt.end(Ending.of(Outcome.CONNECT_FAILED));
        }
    }

    /** Handles a connection that can no longer be used: the attempt continues with the other one, or starts over. */
    private void connectionUnusable() {
        if (!completed && resting == null && !connecting) {
            completed = true;
            pool.begin(attempt);
        }
    }

    private void returnResting() {
        if (resting != null) {
            pool.keepIdle(resting);
            resting = null;
        }
    }
}
