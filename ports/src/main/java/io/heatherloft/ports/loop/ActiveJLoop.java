package io.heatherloft.ports.loop;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;

/**
 * A {@link Loop} on an ActiveJ event loop. Stateless; the threading rules are those of {@link Loop}.
 */
public final class ActiveJLoop implements Loop {
    private final NioReactor reactor;

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
