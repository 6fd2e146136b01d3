package io.heatherloft.router.backend;

import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.ports.loop.Loop;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import jdk.net.ExtendedSocketOptions;

/**
 * Pool of HTTP connections to backend servers.
 *
 * <p>A connection carries one exchange at a time. An idle connection is reused only for the endpoint that it was opened
 * for, in last-in, first-out order, so that surplus connections reach their idle timeout. Confined to the loop's thread.
 */
public final class BackendConnectionPool {
    private static final int MAX_HEADER_BYTES = 16_384;
    // TCP keep-alive: a connection whose peer vanished without a reset fails after about three seconds, even while a
    // response is awaited.
    private static final int KEEPALIVE_SECONDS = 1;
    private static final int KEEPALIVE_PROBES = 2;

    private final Loop loop;
    private final ConnectionPoolSettings settings;
    private final Function<String, InetSocketAddress> addresses;
    private final Bootstrap bootstrap;
    private final Map<BackendEndpoint, Deque<BackendConnection>> idle = new HashMap<>();
    private long opened;
    private long reused;

    /** Creates an empty pool. */
    public BackendConnectionPool(EventLoopGroup group, Loop loop, ConnectionPoolSettings settings) {
        this(group, loop, settings, SocketAddresses::parse);
    }

    /**
     * Creates an empty pool.
     *
     * @param addresses returns the socket address for the address of a server
     */
    public BackendConnectionPool(
            EventLoopGroup group,
            Loop loop,
            ConnectionPoolSettings settings,
            Function<String, InetSocketAddress> addresses) {
        this.loop = loop;
        this.settings = settings;
        this.addresses = addresses;
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

    /** Sends a request on an idle connection, or on a new one if there is none. Takes ownership of the request. */
    public BackendExchange send(BackendEndpoint endpoint, FullHttpRequest request, ResponseListener listener) {
        BackendConnection connection = pollIdle(endpoint);
        if (connection != null) {
            reused++;
            return connection.startExchange(request, listener);
        }
        opened++;
        return connect(endpoint, request, listener);
    }

    /** Opens and closes a connection to find out whether a server is up; calls the task if it refuses connections. */
    public void checkUp(BackendEndpoint endpoint, Runnable onRefused) {
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInboundHandlerAdapter())
                .connect(addresses.apply(endpoint.address()));
        connecting.addListener(_done -> {
            if (connecting.isSuccess()) {
                ChannelFuture _closed = connecting.channel().close();
            } else if (isRefusal(connecting.cause())) {
                onRefused.run();
            }
        });
    }

    static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    /** Closes the idle connections to a server, for example after a timeout on an active connection to it. */
    public void closeIdle(String serverId) {
        idle.entrySet().stream()
                .filter(entry -> entry.getKey().id().equals(serverId))
                .flatMap(entry -> List.copyOf(entry.getValue()).stream())
                .toList()
                .forEach(BackendConnection::close);
    }

    /** Returns the total number of connections opened. */
    public long opened() {
        return opened;
    }

    /** Returns the total number of exchanges that reused a connection. */
    public long reused() {
        return reused;
    }

    private BackendConnection pollIdle(BackendEndpoint endpoint) {
        Deque<BackendConnection> connections = idle.getOrDefault(endpoint, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            BackendConnection connection = connections.pollFirst();
            if (connection.isUsable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private BackendExchange connect(BackendEndpoint endpoint, FullHttpRequest request, ResponseListener listener) {
        BackendConnection connection = new BackendConnection(this, loop, settings, endpoint);
        InetSocketAddress address = addresses.apply(endpoint.address());
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
        idle.computeIfAbsent(connection.endpoint(), _endpoint -> new ArrayDeque<>())
                .addFirst(connection);
    }

    void onClosed(BackendConnection connection) {
        BackendEndpoint endpoint = connection.endpoint();
        idle.computeIfPresent(endpoint, (_key, connections) -> {
            connections.remove(connection);
            return connections.isEmpty() ? null : connections;
        });
    }
}
