package io.heatherloft.router.http;

import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.ports.loop.Loop;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/**
 * The HTTP/1.1 server for callers.
 *
 * <p>Invariant: {@code connections} contains every open connection. Confined to the loop's thread.
 */
public final class CallerServer {
    /** Length of the accept queue: connections established by the operating system and not yet accepted. */
    public static final int BACKLOG = 1_024;

    private static final int MAX_REQUEST_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final Loop loop;
    private final EventLoopGroup group;
    private final Supplier<CallerLimits> limits;
    private final CallerHandler handler;
    private final IntConsumer rejectionListener;
    private final Set<CallerConnection> connections = Collections.newSetFromMap(new IdentityHashMap<>());
    private Channel serverChannel;
    private boolean draining;
    private boolean ending;
    private long connectionErrors;

    /**
     * Creates a server that is not listening yet.
     *
     * @param limits supplies the current limits; called at each use
     * @param rejectionListener receives the status of each request that is rejected before it reaches the handler
     */
    public CallerServer(
            EventLoopGroup group,
            Loop loop,
            Supplier<CallerLimits> limits,
            CallerHandler handler,
            IntConsumer rejectionListener) {
        this.group = group;
        this.loop = loop;
        this.limits = limits;
        this.handler = handler;
        this.rejectionListener = rejectionListener;
    }

    /** Binds an address and starts listening. */
    public CompletableFuture<Void> listen(InetSocketAddress address) {
        return toListenFuture(bootstrap()
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .bind(address));
    }

    /** Accepts connections on a channel that is already bound and listening. */
    public CompletableFuture<Void> listen(ServerSocketChannel listeningChannel) {
        return toListenFuture(bootstrap()
                .channelFactory(() -> new NioServerSocketChannel(listeningChannel))
                .register());
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(group)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ConnectionInitializer());
    }

    private CompletableFuture<Void> toListenFuture(ChannelFuture bindFuture) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        bindFuture.addListener(_done -> {
            if (bindFuture.isSuccess()) {
                serverChannel = bindFuture.channel();
                result.complete(null);
            } else {
                result.completeExceptionally(bindFuture.cause());
            }
        });
        return result;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Starts draining: from now on, connections are closed after the last request that was read. */
    public void drain() {
        draining = true;
    }

    /** Closes all connections on which no request is open. */
    public void closeIdleConnections() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Ends all open requests: those that are handled get their final response from their handlers, those that are still being
     * read and those that follow are refused. From now on, no request reaches the handler.
     */
    public void endRequests() {
        draining = true;
        ending = true;
        List.copyOf(connections).forEach(CallerConnection::endRequests);
    }

    /** Stops accepting connections. */
    public void stopAccepting() {
        if (serverChannel != null) {
            ChannelFuture _closed = serverChannel.close();
        }
    }

    /** Returns the requests that were accepted and whose responses are not completely in the callers' sockets. */
    public List<OpenRequest> openRequests() {
        return connections.stream().flatMap(CallerConnection::openRequests).toList();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns the number of connections that were closed because of an error. */
    public long connectionErrors() {
        return connectionErrors;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isEnding() {
        return ending;
    }

    CallerLimits limits() {
        return limits.get();
    }

    CallerHandler handler() {
        return handler;
    }

    void onRejected(int status) {
        rejectionListener.accept(status);
    }

    void onConnectionError(Throwable _cause) {
        connectionErrors++;
    }

    void onClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    private HttpServerCodec newCodec() {
        return new HttpServerCodec(new HttpDecoderConfig()
                .setMaxInitialLineLength(Math.min(MAX_REQUEST_LINE_BYTES, limits().maxHeaderBytes()))
                .setMaxHeaderSize(limits().maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setChunkedSupported(true));
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            CallerConnection connection = new CallerConnection(loop, CallerServer.this, channel);
            connections.add(connection);
            channel.pipeline()
                    .addLast(new ByteArrivalHandler(connection))
                    .addLast(newCodec())
                    .addLast(connection);
        }
    }

    /** Notifies a connection that bytes have arrived, before they are parsed. Confined to the loop's thread. */
    private static final class ByteArrivalHandler extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ByteArrivalHandler(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytesReceived();
            context.fireChannelRead(message);
        }
    }
}
