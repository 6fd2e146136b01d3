package io.heatherloft.soak;

import io.heatherloft.ports.loop.Loop;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A TCP proxy on the loopback interface that injects faults: it delays or drops traffic and resets connections.
 *
 * <p>Confined to the event loop's thread, except for its construction.
 */
final class FaultProxy {
    private static final long DELAY_MILLIS = 80L;

    private final Loop loop;
    private final EventLoopGroup group;
    private final int targetPort;
    private final Channel serverChannel;
    private final List<Channel> channels = new ArrayList<>();
    private Fault fault = Fault.NONE;

    /** How the proxy treats the bytes it receives. */
    enum Fault {
        /** Forwards all bytes. */
        NONE,
        /** Forwards all bytes after a delay. */
        DELAY,
        /** Drops bytes sent to the server. */
        CUT_FORWARD,
        /** Drops bytes sent by the server. */
        CUT_BACK,
        /** Drops bytes in both directions. */
        SILENCE
    }

    FaultProxy(EventLoopGroup group, Loop loop, int targetPort) {
        this.group = group;
        this.loop = loop;
        this.targetPort = targetPort;
        this.serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel caller) {
                        connect(caller);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /**
     * Sets the fault.
     *
     * <p>If the previous fault dropped bytes, resets all connections, because the dropped bytes are never delivered and
     * the byte streams would have gaps.
     */
    void setFault(Fault newFault) {
        boolean bytesDropped = fault != Fault.NONE && fault != Fault.DELAY;
        fault = newFault;
        if (bytesDropped) {
            resetAll();
        }
    }

    /** Closes all connections with a TCP RST. */
    void resetAll() {
        List.copyOf(channels).forEach(channel -> {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            ChannelFuture _closed = channel.close();
        });
        channels.clear();
    }

    private void connect(Channel caller) {
        caller.config().setAutoRead(false);
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(new Forwarder(caller, Fault.CUT_BACK))
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
        Channel server = connecting.channel();
        caller.pipeline().addLast(new Forwarder(server, Fault.CUT_FORWARD));
        channels.add(caller);
        channels.add(server);
        connecting.addListener(_done -> {
            if (connecting.isSuccess()) {
                caller.config().setAutoRead(true);
            } else {
                ChannelFuture _closed = caller.close();
            }
        });
    }

    /** Forwards the bytes read from one channel to another, subject to the current fault. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel destination;
        private final Fault droppingFault;

        Forwarder(Channel other, Fault cut) {
            this.destination = other;
            this.droppingFault = cut;
        }

        @Override
        public void channelRead(ChannelHandlerContext _context, Object message) {
            if (fault == droppingFault || fault == Fault.SILENCE) {
                ReferenceCountUtil.release(message);
            } else if (fault == Fault.DELAY) {
                loop.schedule(DELAY_MILLIS, () -> forward(message));
            } else {
                forward(message);
            }
        }

        private void forward(Object message) {
            // A failed write closes the channel, and channelInactive then closes the other one.
            ChannelFuture _written = destination.writeAndFlush(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            channels.remove(context.channel());
            // Closes the destination only after delayed bytes have been forwarded.
            loop.schedule(fault == Fault.DELAY ? DELAY_MILLIS : 0, () -> {
                ChannelFuture _closed = destination.close();
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            // Propagates a reset of one connection to the other.
            destination.config().setOption(ChannelOption.SO_LINGER, 0);
            ChannelFuture _closed = context.close();
        }
    }
}
