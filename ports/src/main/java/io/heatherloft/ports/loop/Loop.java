package io.heatherloft.ports.loop;

/**
 * A single-threaded event loop with a clock.
 *
 * <p>Tasks run one at a time. {@link #execute} may be called from any thread; the other methods are confined to the
 * event loop thread. Tests supply implementations with a manually advanced clock.
 */
public interface Loop {
    /** Returns the wall-clock time, in milliseconds since the epoch. */
    long nowMillis();

    /** Runs a task on the event loop thread, after the current task. */
    void execute(Runnable task);

    /** Runs a task after a delay, in milliseconds. */
    Cancellation schedule(long delayMillis, Runnable task);

    /**
     * Runs a task repeatedly, with a delay of {@code periodMillis} before the first run and after the end of each run.
     */
    default Cancellation repeat(long periodMillis, Runnable task) {
        RepeatingTask repeating = new RepeatingTask(this, periodMillis, task);
        repeating.scheduleNext();
        return repeating;
    }

    /** Handle of a scheduled task. */
    @FunctionalInterface
    interface Cancellation {
        /** Cancels the task; has no effect if it has already run. */
        void cancel();
    }
}
