package io.heatherloft.router.backend;

import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.ports.loop.Loop;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;

/**
 * Connections to backend servers, kept for reuse.
 *
 * <p>Invariants: a connection carries one exchange at a time; an idle one is reused only for the server identity it was
 * made for, and the one used last is reused first, so that surplus ones age out. Confined to the loop's thread.
 */
public final class BackendConnectionPool {
    private static final int MAX_HEADER_BYTES = 16_384;
    // A connection that went silent without a reset fails after about three seconds, even while an answer is awaited.
    private static final int KEEPALIVE_SECONDS = 1;
    private static final int KEEPALIVE_PROBES = 2;

    private final Loop loop;
    private final ConnectionPoolSettings settings;
    private final Bootstrap bootstrap;
    private final Map<BackendEndpoint, Deque<BackendConnection>> idle = new HashMap<>();
    private long opened;
    private long reused;

    /** Creates a pool without connections. */
    public BackendConnectionPool(EventLoopGroup group, Loop loop, ConnectionPoolSettings settings) {
        this.loop = loop;
        this.settings = settings;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES);
    }

    /** Sends a request; takes over its body. */
    public BackendExchange send(BackendEndpoint target, FullHttpRequest request, ResponseListener listener) {
        BackendConnection connection = pollIdle(target);
        if (connection != null) {
            reused++;
            return connection.startExchange(request, listener);
        }
        opened++;
        return connect(target, request, listener);
    }

    /** Closes the idle connections to a server, for example because one in use has gone silent. */
    public void closeIdle(String serverId) {
        idle.entrySet().stream()
                .filter(entry -> entry.getKey().id().equals(serverId))
                .flatMap(entry -> List.copyOf(entry.getValue()).stream())
                .toList()
                .forEach(BackendConnection::close);
    }

    /** Returns the number of connections opened so far. */
    public long opened() {
        return opened;
    }

    /** Returns the number of exchanges on connections that had been used before. */
    public long reused() {
        return reused;
    }

    private BackendConnection pollIdle(BackendEndpoint target) {
        Deque<BackendConnection> connections = idle.getOrDefault(target, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            BackendConnection connection = connections.pollFirst();
            if (connection.isUsable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private BackendExchange connect(BackendEndpoint target, FullHttpRequest request, ResponseListener listener) {
        BackendConnection connection = new BackendConnection(this, loop, settings, target);
        InetSocketAddress address = SocketAddresses.parse(target.address());
        BackendExchange exchange = connection.startExchange(request, listener);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(newCodec()).addLast(connection);
                    }
                })
                .connect(address);
        connecting.addListener(_done -> {
            if (connecting.isSuccess()) {
                connection.onConnected(connecting.channel());
            } else {
                connection.onConnectFailed(connecting.cause());
            }
        });
        return exchange;
    }

    private static HttpClientCodec newCodec() {
        return new HttpClientCodec(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES), false, false);
    }

    void release(BackendConnection connection) {
        idle.computeIfAbsent(connection.endpoint(), _target -> new ArrayDeque<>()).addFirst(connection);
    }

    void onClosed(BackendConnection connection) {
        BackendEndpoint target = connection.endpoint();
        idle.computeIfPresent(target, (_key, connections) -> {
            connections.remove(connection);
            return connections.isEmpty() ? null : connections;
        });
    }
}
