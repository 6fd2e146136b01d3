package io.heatherloft.ports.loop;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;

/**
 * A {@link Loop} on an ActiveJ event loop.
 *
 * <p>Invariant: adds no state to the event loop. Threads: as {@link Loop}.
 */
public final class ActiveJLoop implements Loop {
    private final NioReactor reactor;

    /** Creates a view of an event loop. */
    public ActiveJLoop(NioReactor reactor) {
        this.reactor = reactor;
    }

    @Override
    public long nowMillis() {
        return reactor.currentTimeMillis();
    }

    @Override
    public void execute(Runnable task) {
        reactor.execute(task);
    }

    @Override
    public Cancellation schedule(long delayMillis, Runnable task) {
        ScheduledRunnable scheduled = reactor.delayBackground(delayMillis, task);
        return scheduled::cancel;
    }
}
