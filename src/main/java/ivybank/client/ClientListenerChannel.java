package ivybank.client;

import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The listening socket for client connections. */
public final class ClientListenerChannel extends NioServerSocketChannel {

    /** Events fired in the pipeline before the connections that they concern. */
    enum Event {
        /** Connections accepted now may have waited in the backlog: an accept was interrupted or took long. */
        ACCEPT_DELAYED,
        /** Connections were waiting that the selector had not reported. */
        MISSED_BY_SELECTOR
    }

    /**
     * Fired in the pipeline for an accepted connection whose channel could not be created at once.
     *
     * @param waitedMs how long ago it was accepted, in milliseconds
     * @param usable whether its channel has been created now; otherwise the connection is refused
     */
    record Delayed(double waitedMs, boolean usable) {}

    private static final long RETRY_DELAY_MS = 5;
    private static final double SLOW_ACCEPT_MS = 10;

    private final UnreadyConnections unready = new UnreadyConnections(this::eventLoop, this::openLate, this::refused);

    private final BackgroundAccept background = new BackgroundAccept(javaChannel(), this::acceptCompleted);
    private int maxAccepts = 1;
    /** Run before the channel closes, once the backlog is empty; null while it stays open. */
    private Runnable whenDrained;
    /** Whether the running round of accepts was started without a report of the selector. */
    private boolean polled;
    /** Whether clients may have connected since the running round of accepts began. */
    private boolean pollAgain;
    /** Whether the last round of accepts found the backlog empty. */
    private boolean backlogEmpty;

    /** Creates a channel that is not bound yet. */
    public ClientListenerChannel() {}

    /** Creates a channel for a socket that is listening already, and that other processes may share. */
    public ClientListenerChannel(ServerSocketChannel listening) {
        super(listening);
    }

    /**
     * Closes the channel as soon as the backlog is found empty.
     *
     * @param closing run before it closes
     */
    void closeOnceDrained(Runnable closing) {
        whenDrained = closing;
    }

    /** Sets how many connections may be accepted in one round. */
    void setMaxAccepts(int max) {
        maxAccepts = max;
    }

    @Override
    protected int doReadMessages(List<Object> unused) {
        accept(false);
        return 0; // connections are passed to the pipeline once they are accepted
    }

    private void accept(boolean unreported) {
        if (background.isBusy()) {
            pollAgain = true;
            return;
        }
        polled = unreported;
        backlogEmpty = false;
        if (isRegistered()) {
            removeAndSubmit(NioIoOps.ACCEPT); // otherwise the selector reports the same connection until it is accepted
        }
        background.start(eventLoop(), maxAccepts, !unreported);
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (!background.isBusy()) {
            super.doBeginRead();
        }
    }

    private void acceptCompleted(BackgroundAccept.Outcome outcome) {
        boolean nothingAccepted = outcome.connections().isEmpty();
        boolean interrupted = nothingAccepted && !polled && outcome.failure() == null;
        backlogEmpty = nothingAccepted && !outcome.backlogMayRemain();
        if (outcome.durationMs() > SLOW_ACCEPT_MS || nothingAccepted && !polled) {
            pipeline().fireUserEventTriggered(Event.ACCEPT_DELAYED);
        }
        if (polled && !nothingAccepted) {
            pipeline().fireUserEventTriggered(Event.MISSED_BY_SELECTOR);
        }
        outcome.connections().forEach(this::open);
        if (outcome.failure() != null) {
            pipeline().fireExceptionCaught(outcome.failure());
        }
        if (pollAgain) {
            pollAgain = false;
            poll();
        } else if (whenDrained != null && isDrained()) {
            whenDrained.run();
            close(); // immediately: a client that connected in between would be reset
            return;
        }
        if (interrupted) { // or another process accepted first: retrying at once might repeat this endlessly
            eventLoop().schedule(this::resumeAccepting, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            resumeAccepting();
        }
    }

    private void resumeAccepting() {
        if (isActive() && config().isAutoRead()) {
            read();
        }
    }

    private void open(AcceptedConnection connection) {
        try {
            pipeline().fireChannelRead(new ClientSocketChannel(this, connection));
        } catch (RuntimeException | Error e) {
            unready.add(connection);
            pipeline()
                    .fireExceptionCaught(
                            new IOException("the channel of an accepted connection could not be created: " + e, e));
        }
    }

    /** Returns whether a round of accepts is running; closing the channel would wait for its end. */
    boolean isAccepting() {
        return background.isBusy();
    }

    /** Returns whether the last round of accepts found the backlog empty and all accepted connections have their channels. */
    boolean isDrained() {
        return backlogEmpty && unready.size() == 0 && !background.isBusy();
    }

    /** Returns how many descriptors accepted connections hold that have no channel. */
    int unreadyConnections() {
        return unready.size();
    }

    private void openLate(AcceptedConnection connection) {
        ClientSocketChannel channel = new ClientSocketChannel(this, connection);
        pipeline().fireUserEventTriggered(new Delayed(connection.sinceAcceptMs(), true));
        pipeline().fireChannelRead(channel);
    }

    private void refused(AcceptedConnection connection) {
        pipeline().fireUserEventTriggered(new Delayed(connection.sinceAcceptMs(), false));
    }

    /** Accepts without a report of the selector: registering with it may have failed unnoticed. */
    void poll() {
        if (isActive() && config().isAutoRead()) {
            accept(true);
        }
    }
}
