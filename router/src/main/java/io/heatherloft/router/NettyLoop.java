package io.heatherloft.router;

import io.heatherloft.ports.loop.Loop;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A {@link Loop} on a Netty event loop, with a monotonic clock.
 *
 * <p>{@link #nowMillis} starts at the wall-clock time and advances with {@link System#nanoTime}, so adjustments of the
 * system clock do not affect decisions. The threading rules of {@link Loop} apply.
 */
public final class NettyLoop implements Loop {
    private final EventLoop eventLoop;
    private final long originMillis = System.currentTimeMillis();
    private final long originNanos = System.nanoTime();

    /** Wraps an event loop. */
    public NettyLoop(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override
    public long nowMillis() {
        return originMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
    }

    @Override
    public void execute(Runnable task) {
        eventLoop.execute(task);
    }

    @Override
    public Cancellation schedule(long delayMillis, Runnable task) {
        ScheduledFuture<?> scheduled = eventLoop.schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }
}
