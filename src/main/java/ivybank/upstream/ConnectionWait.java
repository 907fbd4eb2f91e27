package ivybank.upstream;

import io.netty.channel.EventLoop;
import ivybank.policy.Balancer.Outcome;
import ivybank.tally.Stage;
import ivybank.upstream.UpstreamAttempt.Ending;
import java.util.concurrent.TimeUnit;

/** An attempt that waits for a connection that rests, for a new one, or for whichever of the two can be used first. */
final class ConnectionWait {

    private static final double MICROS_IN_MS = 1000;

    private final UpstreamPool pool;
    private final EventLoop loop;
    private final ConnectionOpener opener;
    private final UpstreamAttempt attempt;
    /** The connection that rests and is kept for this attempt, else null. */
    private UpstreamConnection resting;

    private boolean comingUp;
    /** Whether the attempt has been sent on, or has ended. */
    private boolean over;

    ConnectionWait(UpstreamPool pool, EventLoop loop, ConnectionOpener opener, UpstreamAttempt attempt) {
        this.pool = pool;
        this.loop = loop;
        this.opener = opener;
        this.attempt = attempt;
    }

    void forRest(UpstreamConnection connection, double restLeftMs) {
        resting = connection;
        loop.schedule(this::rested, (long) Math.ceil(restLeftMs * MICROS_IN_MS), TimeUnit.MICROSECONDS);
    }

    void forNew(boolean spare) {
        comingUp = true;
        opener.open(attempt.node, spare, this::connected);
    }

    private void rested() {
        if (resting == null) {
            return;
        }
        UpstreamConnection connection = resting;
        resting = null;
        if (attempt.ended()) { // its request was called off meanwhile; the next one finds the connection
            pool.keep(connection);
        } else if (UpstreamPool.isOfUse(connection)) {
            over = true;
            attempt.stage = Stage.REST;
            pool.send(connection, attempt);
        } else { // discovery may have said so
            connection.close();
            lost();
        }
    }

    /** @param connection that has come up, or null if it has not */
    private void connected(UpstreamConnection connection) {
        comingUp = false;
        if (connection == null) {
            failed();
        } else if (over || attempt.ended()) {
            pool.keep(connection); // the next request finds it up
        } else if (UpstreamPool.leadsToItsNode(connection)) {
            over = true;
            attempt.stage = Stage.CONNECT;
            handBackResting();
            pool.send(connection, attempt);
        } else { // discovery may have said so while it came up
            connection.close();
            lost();
        }
    }

    private void failed() {
        if (!over && resting == null) {
            over = true;
            attempt.end(Ending.of(Outcome.CONNECT_FAILED));
        }
    }

    /** One of the connections is of no use any more: goes on with the other one, or begins anew. */
    private void lost() {
        if (!over && resting == null && !comingUp) {
            over = true;
            pool.begin(attempt);
        }
    }

    private void handBackResting() {
        if (resting != null) {
            pool.keep(resting);
            resting = null;
        }
    }
}
