package io.heatherloft.ports.loop;

/**
 * Reschedules a task after each run, until it is cancelled.
 *
 * <p>Invariant: at most one run is scheduled at a time. Confined to the event loop thread.
 */
final class RepeatingTask implements Loop.Cancellation {
    private final Loop loop;
    private final long periodMillis;
    private final Runnable task;
    private Loop.Cancellation next = () -> {};
    private boolean cancelled;

    RepeatingTask(Loop loop, long periodMillis, Runnable task) {
        this.loop = loop;
        this.periodMillis = periodMillis;
        this.task = task;
    }

    void scheduleNext() {
        if (!cancelled) {
            next = loop.schedule(periodMillis, this::runOnce);
        }
    }

    private void runOnce() {
        try {
            task.run();
        } finally {
            scheduleNext();
        }
    }

    @Override
    public void cancel() {
        cancelled = true;
        next.cancel();
    }
}
