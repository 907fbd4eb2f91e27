package ivybank.client;

import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The socket on which clients connect. */
public final class ClientListenerChannel extends NioServerSocketChannel {

    /** Told through the pipeline, before the connections that it concerns. */
    enum Event {
        /** What is accepted now may have stood in the backlog: an accept was interrupted, or took long. */
        HELD_BACK,
        /** Connections were there of which the selector had told nothing. */
        FOUND_UNTOLD
    }

    /**
     * Told through the pipeline of a connection that was accepted and whose channel could not be made at once.
     *
     * @param waitedMs how long ago it was accepted, in milliseconds
     * @param used whether its channel is there now, and it was not given up
     */
    record Delayed(double waitedMs, boolean used) {}

    private static final int MOST_UNREADY = 64;
    private static final long PAUSE_MS = 5;
    /** As long as a client that says nothing is kept. */
    private static final double LONGEST_UNREADY_MS = 2500;

    private static final double LONG_ACCEPT_MS = 10;

    /** Accepted connections whose channels could not be made yet. */
    private final List<AcceptedConnection> unready = new ArrayList<>();

    private final BackgroundAccept background = new BackgroundAccept(javaChannel(), this::accepted);
    private int mostAtOnce = 1;
    /** What is run before it closes, once nobody stands in the backlog; null while it goes on. */
    private Runnable whenDrained;
    /** Whether the accepts that go on were not asked for by the selector. */
    private boolean polled;
    /** Whether somebody may have come behind the accepts that go on. */
    private boolean lookAgain;
    /** Whether the last accepts that were begun have found nobody. */
    private boolean emptied;

    /** One that is to be bound. */
    public ClientListenerChannel() {}

    /** One that listens already, and that other processes may have too. */
    public ClientListenerChannel(ServerSocketChannel listening) {
        super(listening);
    }

    /** From now on closes as soon as a look at the backlog finds nobody; {@code closing} is run before. */
    void closeOnceDrained(Runnable closing) {
        whenDrained = closing;
    }

    /** How many connections may be accepted at once from now on. */
    void mostAtOnce(int most) {
        mostAtOnce = most;
    }

    @Override
    protected int doReadMessages(List<Object> none) {
        accept(false);
        return 0; // the pipeline is told of connections once they are accepted
    }

    private void accept(boolean untold) {
        if (background.isBusy()) {
            lookAgain = true;
            return;
        }
        polled = untold;
        emptied = false;
        if (isRegistered()) {
            removeAndSubmit(NioIoOps.ACCEPT); // else the selector reports the same until it is accepted
        }
        background.begin(eventLoop(), mostAtOnce, !untold);
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (!background.isBusy()) {
            super.doBeginRead();
        }
    }

    private void accepted(BackgroundAccept.Outcome outcome) {
        boolean nobody = outcome.connections().isEmpty();
        boolean interrupted = nobody && !polled && outcome.failure() == null;
        emptied = nobody && !outcome.somebodyLeft();
        if (outcome.tookMs() > LONG_ACCEPT_MS || nobody && !polled) {
            pipeline().fireUserEventTriggered(Event.HELD_BACK);
        }
        if (polled && !nobody) {
            pipeline().fireUserEventTriggered(Event.FOUND_UNTOLD);
        }
        outcome.connections().forEach(this::open);
        if (outcome.failure() != null) {
            pipeline().fireExceptionCaught(outcome.failure());
        }
        if (lookAgain) {
            lookAgain = false;
            poll();
        } else if (whenDrained != null && isDrained()) {
            whenDrained.run();
            close(); // at once: who comes now would be reset
            return;
        }
        if (interrupted) { // or another process was faster: at once it might be the same again, without end
            eventLoop().schedule(this::goOn, PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            goOn();
        }
    }

    private void goOn() {
        if (isActive() && config().isAutoRead()) {
            read();
        }
    }

    private void open(AcceptedConnection connection) {
        try {
            pipeline().fireChannelRead(new ClientSocketChannel(this, connection));
        } catch (RuntimeException | Error e) {
            keep(connection);
            pipeline().fireExceptionCaught(new IOException("an accepted connection can't be used yet: " + e, e));
        }
    }

    /** Whether accepts go on: closing would wait for their end. */
    boolean isAccepting() {
        return background.isBusy();
    }

    /** Whether nobody was left in the backlog at the last look, and all who were accepted have their channels. */
    boolean isDrained() {
        return emptied && unready.isEmpty() && !background.isBusy();
    }

    /** Guards a client that was accepted and may have sent a request: making its channel is tried again. */
    private void keep(AcceptedConnection connection) {
        if (unready.size() >= MOST_UNREADY) {
            pipeline().fireUserEventTriggered(new Delayed(0, false));
            close(connection);
            return;
        }
        unready.add(connection);
        if (unready.size() == 1) {
            eventLoop().schedule(this::tryUnready, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void tryUnready() {
        for (AcceptedConnection each : List.copyOf(unready)) {
            try {
                ClientSocketChannel channel = new ClientSocketChannel(this, each);
                unready.remove(each);
                pipeline().fireUserEventTriggered(new Delayed(each.acceptedAgoMs(), true));
                pipeline().fireChannelRead(channel);
            } catch (RuntimeException | Error e) {
                giveUpIfLate(each);
            }
        }
        if (!unready.isEmpty()) {
            eventLoop().schedule(this::tryUnready, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void giveUpIfLate(AcceptedConnection late) {
        if (late.acceptedAgoMs() < LONGEST_UNREADY_MS) {
            return;
        }
        unready.remove(late);
        pipeline().fireUserEventTriggered(new Delayed(late.acceptedAgoMs(), false));
        close(late);
    }

    private static void close(AcceptedConnection connection) {
        try {
            connection.socket().close();
        } catch (IOException e) {
            // It has ended all the same.
        }
    }

    /** Accepts without being told that somebody is there: a registration with the selector may have failed unseen. */
    void poll() {
        if (isActive() && config().isAutoRead()) {
            accept(true);
        }
    }
}
