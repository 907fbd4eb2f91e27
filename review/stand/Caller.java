import java.io.IOException;
import java.net.SocketTimeoutException;

/**
 * A client that keeps its connection and sends one request at a time. Where the sidecar has ended the connection between
 * requests, the request is sent once more on a new one, as the protocol page says.
 */
final class Caller {

    private final int port;
    private Client client;

    Caller(int port) {
        this.port = port;
    }

    /**
     * Returns the answer.
     *
     * @throws NotSentException if the request could not be sent whole, so that nothing is owed for it
     * @throws SocketTimeoutException if there was no answer within the time
     * @throws IOException if the connection, a new one, ended without an answer
     */
    Http.Message call(byte[] request, int waitMs) throws IOException {
        boolean reused = client != null;
        try {
            return send(request, waitMs);
        } catch (SocketTimeoutException e) {
            drop();
            throw e;
        } catch (IOException e) {
            drop();
            if (!reused) {
                throw e;
            }
        }
        try {
            return send(request, waitMs);
        } catch (IOException e) {
            drop();
            throw e;
        }
    }

    private Http.Message send(byte[] request, int waitMs) throws IOException {
        try {
            client = client == null ? new Client(port) : client;
            client.send(request);
        } catch (IOException e) {
            throw new NotSentException(e);
        }
        Http.Message answer = client.answer(waitMs);
        if (answer.field("connection").equalsIgnoreCase("close")) {
            drop();
        }
        return answer;
    }

    private void drop() {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // it has ended
        }
        client = null;
    }

    /** The request could not be sent whole. */
    static final class NotSentException extends IOException {
        private static final long serialVersionUID = 1;

        NotSentException(IOException cause) {
            super(cause.toString(), cause);
        }
    }
}
