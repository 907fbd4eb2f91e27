package ivybank.client;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** The socket on which clients connect. */
public final class ClientListenerChannel extends NioServerSocketChannel {

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
            connection.close();
            throw new IOException("an accepted connection could not be used: " + e, e);
        }
    }

    /** Accepts without being told that somebody is there: a registration with the selector may have failed unseen. */
    void poll() {
        if (isActive() && config().isAutoRead()) {
            unsafe().read();
        }
    }
}
