package io.heatherloft.peer;

import io.heatherloft.peer.generated.Frame;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/**
 * Listens for other hosts and hands their requests to a handler on the loop.
 *
 * <p>Invariant: a request whose handling fails gets no reply, so its caller treats its outcome as unknown. Created and
 * closed on any thread; the handler runs on the loop's thread.
 */
public final class NettyPeerServer implements AutoCloseable {
    private final PeerTraffic traffic;
    private final Loop loop;
    private final PeerNetwork.Handler handler;
    private final Channel listener;

    /**
     * Starts to listen.
     *
     * @throws IllegalStateException if the address is taken
     */
    public NettyPeerServer(
            EventLoopGroup group,
            InetSocketAddress address,
            Loop loop,
            PeerTraffic traffic,
            PeerNetwork.Handler handler) {
        this.traffic = traffic;
        this.loop = loop;
        this.handler = handler;
        this.listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new FrameChannelInitializer(traffic, this::onFrame, _channel -> {}))
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the port that is listened on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    private void onFrame(Channel channel, Frame frame) {
        loop.execute(() -> Futures.onResult(
                handler.handle(frame.getRequest()), reply -> reply(channel, frame.getCorrelation(), reply)));
    }

    private void reply(Channel channel, long correlation, PeerReply reply) {
        FrameChannelInitializer.send(
                channel,
                traffic,
                Frame.newBuilder().setCorrelation(correlation).setReply(reply).build());
    }
}
