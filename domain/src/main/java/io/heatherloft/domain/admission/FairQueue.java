package io.heatherloft.domain.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * A bounded queue that schedules a contended resource among workspaces in proportion to their weights (stride
 * scheduling, Waldspurger and Weihl 1995). Within a workspace, entries are ordered by priority and then by arrival.
 *
 * <p>Invariants: a workspace with a backlog receives its weighted share of the items taken, regardless of the backlogs
 * of others; an idle workspace accumulates no credit. Confined to one thread.
 *
 * @param <T> type of the queued items
 */
public final class FairQueue<T> {
    private static final double STRIDE = 1.0;

    private final int capacity;
    private final Map<String, WorkspaceQueue<T>> workspaceQueues = new HashMap<>();
    private double virtualTime;
    private long nextArrival;
    private int size;

    /** Creates a queue that holds at most {@code capacity} entries. */
    public FairQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds an item to the queue of its workspace.
     *
     * @param maxQueued maximum number of queued items of the workspace
     * @param priority items with a higher value are served first within the workspace
     * @return false if the queue is full or the workspace has reached its limit
     */
    public boolean offer(String workspace, int weight, int maxQueued, int priority, T item) {
        WorkspaceQueue<T> queue = workspaceQueues.computeIfAbsent(workspace, _name -> new WorkspaceQueue<>());
        if (size >= capacity || queue.entries.size() >= maxQueued) {
            return false;
        }
        if (queue.entries.isEmpty()) {
            queue.pass = Math.max(queue.pass, virtualTime);
        }
        queue.weight = weight;
        queue.entries.add(new Entry<>(priority, nextArrival++, item));
        size++;
        return true;
    }

    /** Removes and returns the next item that {@code runnable} accepts, in the order of stride scheduling. */
    public Optional<T> poll(Predicate<T> runnable) {
        return workspaceQueues.values().stream()
                .filter(queue -> !queue.entries.isEmpty())
                .sorted(Comparator.comparingDouble(queue -> queue.pass))
                .flatMap(queue -> queue.takeFirst(runnable).stream().peek(_item -> charge(queue)))
                .findFirst();
    }

    /** Removes an item; returns false if it is not in the queue. */
    public boolean remove(T item) {
        boolean removed = workspaceQueues.values().stream()
                .anyMatch(queue -> queue.entries.removeIf(entry -> entry.item().equals(item)));
        if (removed) {
            size--;
        }
        return removed;
    }

    /** Returns the number of queued items. */
    public int size() {
        return size;
    }

    private void charge(WorkspaceQueue<T> queue) {
        virtualTime = Math.max(virtualTime, queue.pass);
        queue.pass += STRIDE / queue.weight;
        size--;
    }

    private record Entry<T>(int priority, long arrival, T item) {}

    private static final class WorkspaceQueue<T> {
        private final TreeSet<Entry<T>> entries = new TreeSet<>(
                Comparator.<Entry<T>>comparingInt(entry -> -entry.priority()).thenComparingLong(Entry::arrival));
        private double pass;
        private int weight = 1;

        Optional<T> takeFirst(Predicate<T> runnable) {
            for (Iterator<Entry<T>> iterator = entries.iterator(); iterator.hasNext(); ) {
                Entry<T> entry = iterator.next();
                if (runnable.test(entry.item())) {
                    iterator.remove();
                    return Optional.of(entry.item());
                }
            }
            return Optional.empty();
        }
    }
}
