package io.heatherloft.standins.platform;

import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.NettyLoop;
import io.heatherloft.router.http.CallerHandler;
import io.heatherloft.router.http.CallerServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Event loop that serves stand-ins on loopback ports.
 *
 * <p>May be used by any thread except the event loop's own, which would deadlock in the blocking methods. The stand-ins
 * are accessed through {@link #call} and {@link #run}.
 */
public final class StandInLoop implements AutoCloseable {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Loop loop = new NettyLoop(group.next());

    public Loop loop() {
        return loop;
    }

    /** Returns the Netty group that owns the event loop's thread. */
    public EventLoopGroup group() {
        return group;
    }

    /** Serves a stand-in on a loopback port and returns the port; 0 selects a free one. */
    public int listen(CallerHandler handler, int port) {
        CallerServer server = newServer(handler);
        listen(server, port).join();
        return server.port();
    }

    /** Returns a server for a stand-in, to be started by {@link #listen(CallerServer, int)}. */
    public CallerServer newServer(CallerHandler handler) {
        return new CallerServer(group, loop, () -> CallerLimits.DEFAULT, handler, _status -> {});
    }

    /** Starts a server on a loopback port; may be called on the event loop's thread. */
    public CompletableFuture<Void> listen(CallerServer server, int port) {
        return server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Runs a task on the event loop and blocks until its result is available. */
    public <T> T call(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(task.get()));
        return result.join();
    }

    /** Runs a task on the event loop and blocks until it has completed. */
    public void run(Runnable task) {
        boolean _done = call(() -> {
            task.run();
            return true;
        });
    }

    @Override
    public void close() {
        io.netty.util.concurrent.Future<?> _ended = group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
