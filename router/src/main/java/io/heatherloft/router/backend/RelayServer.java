package io.heatherloft.router.backend;

import io.heatherloft.ports.http.SocketAddresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.CharsetUtil;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Connects other hosts to backend servers that they cannot reach themselves.
 *
 * <p>The other host sends a line with the ID and the address of the server. After the reply {@link RelayReply#CONNECTED},
 * its bytes are passed on as they are; the server's bytes are sent in frames with their length. An empty frame tells that
 * the server closed its connection in order, after all bytes for it were written; without one, the response before it may
 * be incomplete. Connects to known servers only, and never through a third host. Confined to the loop's thread.
 */
public final class RelayServer {
    /** Length of the field with the length of a frame, in bytes. */
    static final int LENGTH_BYTES = 4;
    /** Upper bound of the length of a line, in bytes. */
    static final int MAX_LINE_BYTES = 256;

    private static final int MAX_CONNECTIONS = 512;

    private final EventLoopGroup group;
    private final Bootstrap serverBootstrap;
    private final Function<String, InetSocketAddress> addresses;
    private final Predicate<BackendEndpoint> isKnown;
    private final BooleanSupplier isCutOff;
    private int connections;

    /**
     * Creates a server that is not listening yet.
     *
     * @param serverBootstrap opens connections to backend servers
     * @param addresses returns the socket address for the address of a server
     * @param isKnown returns true for a registered server to which other hosts may be connected
     * @param isCutOff returns true while this host cannot reach the servers either
     */
    public RelayServer(
            EventLoopGroup group,
            Bootstrap serverBootstrap,
            Function<String, InetSocketAddress> addresses,
            Predicate<BackendEndpoint> isKnown,
            BooleanSupplier isCutOff) {
        this.group = group;
        this.serverBootstrap = serverBootstrap;
        this.addresses = addresses;
        this.isKnown = isKnown;
        this.isCutOff = isCutOff;
    }

    /** Starts to listen at an IP address; the result is the address with the port. */
    public CompletableFuture<String> listen(String ipAddress, int port) {
        CompletableFuture<String> result = new CompletableFuture<>();
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES), new RequestHandler());
                    }
                })
                .bind(SocketAddresses.parse(ipAddress + ":" + port));
        binding.addListener(_done -> {
            if (binding.isSuccess()) {
                InetSocketAddress bound = (InetSocketAddress) binding.channel().localAddress();
                result.complete(ipAddress + ":" + bound.getPort());
            } else {
                result.completeExceptionally(binding.cause());
            }
        });
        return result;
    }

    /** Reads the request line and connects to the server. */
    private final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            String[] words = line.toString(CharsetUtil.US_ASCII).split(" ", -1);
            BackendEndpoint endpoint = words.length == 2 ? new BackendEndpoint(words[0], words[1]) : null;
            context.channel().config().setAutoRead(false);
            if (endpoint == null
                    || !isKnown.test(endpoint)
                    || isCutOff.getAsBoolean()
                    || connections >= MAX_CONNECTIONS) {
                rejectWith(RelayReply.UNAVAILABLE, context.channel());
                return;
            }
            connections++;
            ChannelFuture _counted = context.channel().closeFuture().addListener(_closed -> connections--);
            connect(context.channel(), endpoint);
        }

        private void connect(Channel near, BackendEndpoint endpoint) {
            ChannelFuture connecting = serverBootstrap
                    .clone()
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(addresses.apply(endpoint.address()));
            connecting.addListener(_done -> {
                if (!connecting.isSuccess()) {
                    boolean refused = BackendConnectionPool.isRefusal(connecting.cause());
                    rejectWith(refused ? RelayReply.REFUSED : RelayReply.UNREACHABLE, near);
                } else if (near.isActive() && isKnown.test(endpoint)) {
                    join(near, connecting.channel());
                } else {
                    ChannelFuture _closed = connecting.channel().close();
                    rejectWith(RelayReply.UNAVAILABLE, near);
                }
            });
        }

        private void join(Channel near, Channel far) {
            ChannelFuture _replied = near.writeAndFlush(lineOf(RelayReply.CONNECTED));
            near.pipeline().remove(LineBasedFrameDecoder.class);
            near.pipeline().remove(this);
            Relay relay = new Relay();
            near.pipeline().addLast(new LengthFieldPrepender(LENGTH_BYTES), new PassOn(relay, far, false));
            far.pipeline().addLast(new PassOn(relay, near, true));
            near.config().setAutoRead(true);
            far.config().setAutoRead(true);
        }

        private static void rejectWith(RelayReply reply, Channel near) {
            ChannelFuture _closed = near.writeAndFlush(lineOf(reply)).addListener(ChannelFutureListener.CLOSE);
        }

        private static ByteBuf lineOf(RelayReply reply) {
            return Unpooled.copiedBuffer(reply.line() + "\n", CharsetUtil.US_ASCII);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            ChannelFuture _closed = context.close();
        }
    }

    /** State that both directions of a relay share. */
    private static final class Relay {
        // A reset can surface as a failed write only; the channel is then closed as at the end of the response.
        private boolean failed;
    }

    /** Passes the bytes of one channel on to another, no faster than that one takes them. */
    private static final class PassOn extends ChannelInboundHandlerAdapter {
        private final Relay relay;
        private final Channel target;
        private final boolean fromServer;

        PassOn(Relay relay, Channel target, boolean fromServer) {
            this.relay = relay;
            this.target = target;
            this.fromServer = fromServer;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ChannelFuture writing = target.writeAndFlush(message);
            writing.addListener(_done -> relay.failed |= !writing.isSuccess());
            if (!target.isWritable()) {
                context.channel().config().setAutoRead(false);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            target.config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext _context) {
            if (fromServer && !relay.failed) {
                ChannelFuture _ended =
                        target.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            } else {
                ChannelFuture _closed = target.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            relay.failed = true;
            ChannelFuture _closed = context.close();
        }
    }
}
