package forkramp.sidecar;

import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import forkramp.Balancer.Effect;
import forkramp.Balancer.RequestClass;
import forkramp.Balancer.Settings;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;

/** Listens for the client and keeps its connections. */
final class ClientServer {

    private static final int MAX_BODY = 64 * 1024;

    private final Driver driver;
    private final Clock clock;
    private final int maxConnections;
    private final Log log;
    private final List<RequestClass> classes;
    private final Map<String, Integer> classOfPath = new HashMap<>();
    private final Map<String, Integer> tenantOfName = new HashMap<>();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean draining;

    ClientServer(Settings settings, Driver driver, Clock clock, int maxConnections, Log log) {
        this.driver = driver;
        this.clock = clock;
        this.maxConnections = maxConnections;
        this.log = log;
        this.classes = settings.classes();
        for (int i = 0; i < classes.size(); i++) {
            classOfPath.put("/" + classes.get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenantOfName.put(settings.tenants().get(i).name(), i);
        }
    }

    /** Begins to listen; the bootstrap brings the event loop, the kind of channel and its options. */
    ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
        ChannelFuture bound = bootstrap.childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY),
                        new ClientConnection(ClientServer.this, driver, clock));
            }
        }).bind(address);
        listener = bound.channel();
        return bound;
    }

    int connections() {
        return connections.size();
    }

    /** The class that a path begins with, or -1. */
    int classOf(String path) {
        return classOfPath.getOrDefault(path, -1);
    }

    Effect effectOf(int requestClass) {
        return classes.get(requestClass).effect();
    }

    int tenantOf(String name) {
        return tenantOfName.getOrDefault(name, 0);
    }

    void opened(ClientConnection connection) {
        connections.add(connection);
        if (connections.size() == maxConnections) {
            // Further ones wait in the backlog: upstreams need descriptors too, and a close would lose a request.
            log.line("the client has " + maxConnections + " connections open: no more are accepted for now");
            listener.config().setAutoRead(false);
        }
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        if (connections.size() < maxConnections) {
            listener.config().setAutoRead(true);
        }
    }

    boolean draining() {
        return draining;
    }

    /** From now on each answer ends its connection. */
    void drain() {
        draining = true;
    }

    void closeIdle() {
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    void stopListening() {
        listener.close();
    }
}
