package io.heatherloft.peer;

import io.heatherloft.peer.generated.Frame;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.ports.http.SocketAddresses;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A {@link PeerNetwork} over Netty with one connection per remote host.
 *
 * <p>Invariants: each call completes exactly once; a reply completes the call with the same correlation ID on the same
 * connection; frames are not written to a connection whose outbound buffer is full, so that calls to a host that has
 * stopped reading time out instead of using up memory. Confined to the event loop thread, except for frame decoding,
 * which runs on the Netty I/O thread.
 */
public final class NettyPeerNetwork implements PeerNetwork {
    private static final long CALL_TIMEOUT_MILLIS = 1_000L;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final Loop loop;
    private final PeerTraffic traffic;
    private final Bootstrap bootstrap;
    private final Map<String, Connection> connections = new HashMap<>();
    private long lastCorrelationId;

    /** Creates a client whose connections run on {@code group}. */
    public NettyPeerNetwork(EventLoopGroup group, Loop loop, PeerTraffic traffic) {
        this.loop = loop;
        this.traffic = traffic;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true);
    }

    @Override
    public CompletableFuture<PeerReply> call(String address, PeerRequest request) {
        Optional<InetSocketAddress> target = SocketAddresses.tryParse(address);
        if (target.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new PeerUnavailableException(address, "expected an IPv4 address and a port"));
        }
        Connection connection = connections.computeIfAbsent(address, _address -> open(address, target.get()));
        long correlation = ++lastCorrelationId;
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        connection.pendingCalls.put(correlation, reply);
        // A connection can stop delivering data without being reset, so it is closed after the first call that times
        // out.
        Loop.Cancellation timer = loop.schedule(
                CALL_TIMEOUT_MILLIS, () -> connection.close("no reply within " + CALL_TIMEOUT_MILLIS + " ms"));
        Futures.onComplete(reply, (_reply, _failure) -> {
            timer.cancel();
            connection.pendingCalls.remove(correlation);
        });
        connection.send(Frame.newBuilder()
                .setCorrelation(correlation)
                .setRequest(request)
                .build());
        return reply;
    }

    /** Closes all connections; calls in progress fail. */
    public void close() {
        List.copyOf(connections.values()).forEach(connection -> connection.close("closed"));
    }

    private Connection open(String address, InetSocketAddress target) {
        Connection connection = new Connection(address);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new FrameChannelInitializer(
                        traffic,
                        (_channel, frame) -> loop.execute(() -> connection.onReply(frame)),
                        _channel -> loop.execute(() -> connection.fail("connection closed"))))
                .connect(target);
        connecting.addListener(_done -> loop.execute(() -> {
            if (connecting.isSuccess()) {
                connection.onConnected(connecting.channel());
            } else {
                connection.fail("connection attempt failed");
            }
        }));
        return connection;
    }

    private final class Connection {
        private final String address;
        private final Map<Long, CompletableFuture<PeerReply>> pendingCalls = new HashMap<>();
        private final List<Frame> queuedFrames = new ArrayList<>();
        private Channel channel;

        Connection(String address) {
            this.address = address;
        }

        void send(Frame frame) {
            if (channel == null) {
                queuedFrames.add(frame);
            } else if (channel.isWritable()) {
                FrameChannelInitializer.send(channel, traffic, frame);
            }
        }

        void onConnected(Channel connected) {
            channel = connected;
            queuedFrames.forEach(frame -> FrameChannelInitializer.send(channel, traffic, frame));
            queuedFrames.clear();
        }

        void onReply(Frame frame) {
            CompletableFuture<PeerReply> reply = pendingCalls.get(frame.getCorrelation());
            if (reply != null) {
                reply.complete(frame.getReply());
            }
        }

        void fail(String reason) {
            connections.remove(address, this);
            List.copyOf(pendingCalls.values())
                    .forEach(reply -> reply.completeExceptionally(new PeerUnavailableException(address, reason)));
        }

        void close(String reason) {
            fail(reason);
            if (channel != null) {
                ChannelFuture _closing = channel.close();
            }
        }
    }
}
