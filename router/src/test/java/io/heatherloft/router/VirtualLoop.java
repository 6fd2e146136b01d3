package io.heatherloft.router;

import io.heatherloft.ports.loop.Loop;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A loop in virtual time, which runs its tasks in the order of their times. Confined to the test's thread. */
public final class VirtualLoop implements Loop {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));
    private long now = 1_000_000;
    private long scheduled;

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public void execute(Runnable task) {
        Cancellation _running = schedule(0, task);
    }

    @Override
    public Cancellation schedule(long delayMillis, Runnable runnable) {
        Task task = new Task(now + Math.max(0, delayMillis), scheduled++, runnable);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** Runs all tasks that are due within a time, and advances the clock by it. */
    public void runFor(long millis) {
        long end = now + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
            Task task = tasks.poll();
            now = task.atMillis();
            task.runnable().run();
        }
        now = end;
    }

    private record Task(long atMillis, long number, Runnable runnable) {}
}
