package ivybank.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A listener whose backlog is full: further connections come up only once it lets them in (TCP tries again after 1 s). */
public final class LateListener implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> waiting = new ArrayList<>();
    private final List<Socket> accepted = new ArrayList<>();

    public LateListener() throws IOException {
        try {
            while (waiting.size() < 100) {
                Socket socket = new Socket();
                waiting.add(socket);
                socket.connect(listener.getLocalSocketAddress(), 100);
            }
        } catch (SocketTimeoutException e) {
            waiting.remove(waiting.size() - 1).close(); // full
            return;
        }
        throw new IOException("the backlog does not fill");
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Takes those that fill the backlog. */
    public void letIn() throws IOException {
        for (int i = 0; i < waiting.size(); i++) {
            accepted.add(listener.accept());
        }
    }

    /** The next connection that comes up, within so long; null if none does. */
    public Socket next(int mostMs) throws IOException {
        listener.setSoTimeout(mostMs);
        try {
            Socket socket = listener.accept();
            accepted.add(socket);
            return socket;
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : waiting) {
            socket.close();
        }
        for (Socket socket : accepted) {
            socket.close();
        }
    }
}
