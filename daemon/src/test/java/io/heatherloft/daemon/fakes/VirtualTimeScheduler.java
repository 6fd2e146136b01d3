package io.heatherloft.daemon.fakes;

import io.heatherloft.ports.loop.Loop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Runs the tasks of several hosts' loops in virtual time, one at a time, ordered by due time and then submission. */
public final class VirtualTimeScheduler {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));
    private long nowMillis;
    private long lastTaskNumber;

    public VirtualTimeScheduler(long startMillis) {
        nowMillis = startMillis;
    }

    public long nowMillis() {
        return nowMillis;
    }

    /** Advances the time by {@code millis} and runs the tasks that become due. */
    public void advance(long millis) {
        long end = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
            Task task = tasks.poll();
            nowMillis = Math.max(nowMillis, task.atMillis());
            task.loop().run(task);
        }
        nowMillis = end;
    }

    public HostLoop newLoop() {
        return new HostLoop();
    }

    private record Task(long atMillis, long number, HostLoop loop, Runnable action) {}

    /** The event loop of one host. It can be paused, which defers its tasks, and killed, which discards them. */
    public final class HostLoop implements Loop {
        private final List<Task> deferredTasks = new ArrayList<>();
        private boolean paused;
        private boolean dead;

        @Override
        public long nowMillis() {
            return nowMillis;
        }

        @Override
        public void execute(Runnable task) {
            schedule(0, task);
        }

        @Override
        public Cancellation schedule(long delayMillis, Runnable action) {
            boolean[] cancelled = new boolean[1];
            long at = delayMillis > Integer.MAX_VALUE ? Long.MAX_VALUE : nowMillis + delayMillis;
            tasks.add(new Task(at, ++lastTaskNumber, this, () -> {
                if (!cancelled[0]) {
                    action.run();
                }
            }));
            return () -> cancelled[0] = true;
        }

        public void pause() {
            paused = true;
        }

        public void resume() {
            paused = false;
            deferredTasks.forEach(task -> tasks.add(new Task(nowMillis, task.number(), this, task.action())));
            deferredTasks.clear();
        }

        public void kill() {
            dead = true;
        }

        public boolean isDead() {
            return dead;
        }

        public boolean isPaused() {
            return paused;
        }

        private void run(Task task) {
            if (dead) {
                return;
            }
            if (paused) {
                deferredTasks.add(task);
            } else {
                task.action().run();
            }
        }
    }
}
