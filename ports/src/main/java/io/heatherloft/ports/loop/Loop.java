package io.heatherloft.ports.loop;

/**
 * The one thread on which a process makes its decisions, with its clock.
 *
 * <p>Invariant: tasks run one at a time. {@link #execute} may be called by any thread; the rest is confined to the
 * loop's thread. Tests give a loop with a clock that they move by hand.
 */
public interface Loop {
    /** Returns the wall-clock time, in milliseconds since the epoch. */
    long nowMillis();

    /** Runs a task on the loop, after the present one. */
    void execute(Runnable task);

    /** Runs a task after a delay, in milliseconds. */
    Cancellation schedule(long delayMillis, Runnable task);

    /** Runs a task again and again, {@code periodMillis} after the end of the one before. */
    default Cancellation repeat(long periodMillis, Runnable task) {
        RepeatingTask repeating = new RepeatingTask(this, periodMillis, task);
        repeating.scheduleNext();
        return repeating;
    }

    /** Withdraws a task that has not run yet. */
    @FunctionalInterface
    interface Cancellation {
        /** Withdraws the task; does nothing if it has run. */
        void cancel();
    }
}
