package ivybank.client;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The socket on which clients connect. */
public final class ClientListenerChannel extends NioServerSocketChannel {

    /** An accepted connection whose channel could not be made yet. */
    private record Unready(SocketChannel connection, long acceptedNanos) {}

    private static final int MOST_UNREADY = 64;
    private static final long PAUSE_MS = 5;
    /** As long as a client that says nothing is kept. */
    private static final long LONGEST_UNREADY_MS = 2500;

    private final List<Unready> unready = new ArrayList<>();

    /** One that is to be bound. */
    public ClientListenerChannel() {}

    /** One that listens already, and that other processes may have too. */
    public ClientListenerChannel(ServerSocketChannel listening) {
        super(listening);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws IOException {
        SocketChannel connection = javaChannel().accept();
        if (connection == null) {
            return 0;
        }
        try {
            accepted.add(new ClientSocketChannel(this, connection));
            return 1;
        } catch (RuntimeException | Error e) {
            keep(connection);
            throw new IOException("an accepted connection can't be used yet: " + e, e);
        }
    }

    /** Guards a client that was accepted and may have sent a request: making its channel is tried again. */
    private void keep(SocketChannel connection) throws IOException {
        if (unready.size() >= MOST_UNREADY) {
            connection.close();
            return;
        }
        unready.add(new Unready(connection, System.nanoTime()));
        if (unready.size() == 1) {
            eventLoop().schedule(this::tryUnready, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Whether connections were accepted whose channels could not be made yet: they need this one to be open. */
    boolean hasUnready() {
        return !unready.isEmpty();
    }

    private void tryUnready() {
        for (Unready each : List.copyOf(unready)) {
            try {
                ClientSocketChannel channel = new ClientSocketChannel(this, each.connection);
                unready.remove(each);
                pipeline().fireChannelRead(channel);
            } catch (RuntimeException | Error e) {
                giveUpIfLate(each);
            }
        }
        if (!unready.isEmpty()) {
            eventLoop().schedule(this::tryUnready, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void giveUpIfLate(Unready late) {
        if (System.nanoTime() - late.acceptedNanos < TimeUnit.MILLISECONDS.toNanos(LONGEST_UNREADY_MS)) {
            return;
        }
        unready.remove(late);
        try {
            late.connection.close();
        } catch (IOException e) {
            // It has ended all the same.
        }
    }

    /** Accepts without being told that somebody is there: a registration with the selector may have failed unseen. */
    void poll() {
        if (isActive() && config().isAutoRead()) {
            unsafe().read();
        }
    }
}
