package io.heatherloft.router;

import io.heatherloft.ports.loop.Loop;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A {@link Loop} on a Netty event loop whose clock never steps.
 *
 * <p>Invariant: {@link #nowMillis} starts at the time of day and from then on follows the steady clock, so that no
 * decision depends on a correction of the time of day. Threads: as {@link Loop}.
 */
public final class NettyLoop implements Loop {
    private final EventLoop eventLoop;
    private final long originMillis = System.currentTimeMillis();
    private final long originNanos = System.nanoTime();

    /** Creates a view of an event loop. */
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
