package io.heatherloft.router.backend;

import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.ports.loop.Loop;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.CharsetUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Opens connections to backend servers through other hosts; see {@link RelayServer}.
 *
 * <p>Asks one host after another until one is connected, or several have found that they cannot connect either: a host that
 * has just lost its own links cannot tell a server that is down. Confined to the loop's thread.
 */
final class RelayClient {
    private static final int MAX_HOSTS_ASKED = 6;
    private static final int CONFIRMATIONS = 4;
    // Longer than the other host's own connect timeout.
    private static final long REPLY_TIMEOUT_MILLIS = 700L;
    private static final int MAX_FRAME_BYTES = 1_048_576;

    private final Loop loop;
    private final Bootstrap bootstrap;
    private final Supplier<List<String>> hosts;

    /**
     * Creates a client.
     *
     * @param bootstrap opens connections to other hosts
     * @param hosts supplies the addresses of other hosts in the order in which they should be asked
     */
    RelayClient(Loop loop, Bootstrap bootstrap, Supplier<List<String>> hosts) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.hosts = hosts;
    }

    /**
     * Outcome of an attempt to connect to a server through other hosts.
     *
     * @param channel the connection, if there is one; the bytes that it reads are the server's
     * @param refused true if a host found that the server's address refuses connections
     * @param confirmed true if as many hosts as could be asked found that they cannot connect either, or there is no other
     * @param hosts number of hosts that were known, asked and could not connect, for the log; empty if there is no other
     */
    record Outcome(Optional<Channel> channel, boolean refused, boolean confirmed, String hosts) {}

    void connect(BackendEndpoint endpoint, Consumer<Outcome> listener) {
        List<String> candidates = hosts.get();
        new Search(endpoint, candidates, listener).askNext();
    }

    /** A search for a host that can connect to a server. */
    private final class Search {
        private final BackendEndpoint endpoint;
        private final List<String> candidates;
        private final Consumer<Outcome> listener;
        private int asked;
        private int unreachable;
        private boolean refused;

        Search(BackendEndpoint endpoint, List<String> candidates, Consumer<Outcome> listener) {
            this.endpoint = endpoint;
            this.candidates = candidates;
            this.listener = listener;
        }

        void askNext() {
            boolean exhausted = asked >= Math.min(candidates.size(), MAX_HOSTS_ASKED);
            if (unreachable >= CONFIRMATIONS || exhausted) {
                listener.accept(new Outcome(
                        Optional.empty(),
                        refused,
                        candidates.isEmpty() || unreachable >= Math.min(CONFIRMATIONS, candidates.size()),
                        candidates.isEmpty()
                                ? ""
                                : "of " + candidates.size() + " hosts " + asked + " asked, " + unreachable
                                        + " in vain"));
                return;
            }
            Optional<InetSocketAddress> host = SocketAddresses.tryParse(candidates.get(asked));
            asked++;
            if (host.isEmpty()) {
                askNext();
                return;
            }
            Request request = new Request(endpoint, this::onReply);
            ChannelFuture connecting = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new LineBasedFrameDecoder(RelayServer.MAX_LINE_BYTES), request);
                        }
                    })
                    .connect(host.get());
            connecting.addListener(_done -> {
                if (!connecting.isSuccess()) {
                    request.end(RelayReply.UNAVAILABLE);
                }
            });
        }

        private void onReply(RelayReply reply, Optional<Channel> channel) {
            if (reply == RelayReply.CONNECTED) {
                listener.accept(new Outcome(channel, false, false, ""));
                return;
            }
            unreachable += reply == RelayReply.UNAVAILABLE ? 0 : 1;
            refused |= reply == RelayReply.REFUSED;
            askNext();
        }
    }

    /** Receives the reply of another host. */
    private interface ReplyListener {
        void onReply(RelayReply reply, Optional<Channel> channel);
    }

    /** Asks one host for a connection. */
    private final class Request extends SimpleChannelInboundHandler<ByteBuf> {
        private final BackendEndpoint endpoint;
        private final ReplyListener listener;
        private Loop.Cancellation timer = () -> {};
        private boolean ended;

        Request(BackendEndpoint endpoint, ReplyListener listener) {
            this.endpoint = endpoint;
            this.listener = listener;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ChannelFuture _sent = context.writeAndFlush(
                    Unpooled.copiedBuffer(endpoint.id() + " " + endpoint.address() + "\n", CharsetUtil.US_ASCII));
            timer = loop.schedule(REPLY_TIMEOUT_MILLIS, () -> giveUp(context.channel()));
        }

        private void giveUp(Channel channel) {
            ChannelFuture _closed = channel.close();
            end(RelayReply.UNAVAILABLE);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            RelayReply reply =
                    RelayReply.parse(line.toString(CharsetUtil.US_ASCII)).orElse(RelayReply.UNAVAILABLE);
            if (ended || reply != RelayReply.CONNECTED) {
                ChannelFuture _closed = context.close();
                end(reply);
                return;
            }
            ended = true;
            timer.cancel();
            Channel channel = context.channel();
            channel.pipeline()
                    .addLast(
                            new LengthFieldBasedFrameDecoder(
                                    MAX_FRAME_BYTES, 0, RelayServer.LENGTH_BYTES, 0, RelayServer.LENGTH_BYTES),
                            new EndOfRelay());
            listener.onReply(reply, Optional.of(channel));
            channel.pipeline().remove(this);
            channel.pipeline().remove(LineBasedFrameDecoder.class);
        }

        @Override
        public void channelInactive(ChannelHandlerContext _context) {
            end(RelayReply.UNAVAILABLE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            giveUp(context.channel());
        }

        void end(RelayReply reply) {
            if (!ended) {
                ended = true;
                timer.cancel();
                listener.onReply(reply, Optional.empty());
            }
        }
    }

    /** Reports a connection that ended before the server closed it in order as failed. */
    private static final class EndOfRelay extends ChannelInboundHandlerAdapter {
        private boolean inOrder;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf frame && !frame.isReadable()) {
                inOrder = true;
                ReferenceCountUtil.release(message);
            } else {
                context.fireChannelRead(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!inOrder) {
                context.fireExceptionCaught(new IOException("the connection through another host was lost"));
            }
            context.fireChannelInactive();
        }
    }
}
