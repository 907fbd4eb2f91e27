package ivybank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ivybank.common.Clock;
import ivybank.common.DescriptorBudget;
import ivybank.common.Log;
import ivybank.exchange.Answer;
import ivybank.exchange.ClientLink;
import ivybank.exchange.ClientRequest;
import ivybank.exchange.RequestHandler;
import ivybank.settings.SettingsParser;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what a client's connection tells the handler of its requests. */
@Timeout(30)
class ClientConnectionTest {

    private static final int CONNECTIONS = 10;
    private static final int REQUEST_NUMBER = 7;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), Clock.system());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private InetSocketAddress listen(RequestHandler handler) {
        ClientServer server = new ClientServer(
                SettingsParser.parse("lanes.count=1\nlanes.0.name=submit\nlanes.0.hardLimitMs=6000\n"),
                handler,
                Clock.system(),
                new ClientServer.Limits(CONNECTIONS, CONNECTIONS, CONNECTIONS, CONNECTIONS),
                new DescriptorBudget(CONNECTIONS),
                null,
                log);
        ServerBootstrap bootstrap = new ServerBootstrap().group(group).channel(ClientListenerChannel.class);
        return (InetSocketAddress)
                server.listen(bootstrap, loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .syncUninterruptibly()
                        .channel()
                        .localAddress();
    }

    /** A handler that looks for the client before it returns the request's number, when the client has just left. */
    private static final class LookingHandler implements RequestHandler {
        private final CompletableFuture<Socket> client = new CompletableFuture<>();
        private final CompletableFuture<ClientLink> link = new CompletableFuture<>();
        private final CompletableFuture<Boolean> presentAfterReset = new CompletableFuture<>();
        private final CompletableFuture<Integer> disconnected = new CompletableFuture<>();

        @Override
        public int handle(ClientRequest request, Consumer<Answer> answers) {
            try {
                client.join().setSoLinger(true, 0);
                client.join().close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            presentAfterReset.complete(request.client().verifyClientPresent());
            link.complete(request.client());
            return REQUEST_NUMBER;
        }

        @Override
        public void clientDisconnected(int number) {
            if (number == REQUEST_NUMBER) {
                disconnected.complete(number);
            }
        }

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public int unanswered() {
            return 0;
        }

        @Override
        public boolean isInFlight(String callId) {
            return false;
        }

        @Override
        public void bodyCompleted(int number, double earliestMs) {}
    }

    // Guards against a request that is sent after all, since its client was found gone before the request had its
    // number.
    @Test
    void aRequestWhoseClientIsFoundGoneWhileItIsPassedOnIsCancelled() throws Exception {
        LookingHandler handler = new LookingHandler();
        InetSocketAddress address = listen(handler);
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.getOutputStream()
                .write("POST /submit HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        handler.client.complete(client);
        assertFalse(handler.presentAfterReset.get(10, TimeUnit.SECONDS));
        assertEquals(REQUEST_NUMBER, handler.disconnected.get(5, TimeUnit.SECONDS));
        ClientLink link = handler.link.get();
        Thread.sleep(20); // the time after which an attempt asks again
        assertFalse(loop.submit(link::verifyClientPresent).get(), "a client that has left counts as present");
    }
}
