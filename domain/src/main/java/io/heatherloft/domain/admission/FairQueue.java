package io.heatherloft.domain.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * A bounded queue that shares a contended resource between workspaces by weight (stride scheduling, Waldspurger and
 * Weihl 1995) and, within a workspace, serves higher priority first and then in order of arrival.
 *
 * <p>Invariants: a workspace that always waits receives its weight's share of what is taken, whatever the others
 * queue; an idle workspace saves up nothing. Confined to one thread.
 *
 * @param <T> what waits
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
     * Adds an entry at the end of its workspace's lane.
     *
     * @param priority higher is served first within the workspace
     * @return false if the queue, or the workspace's share of it, is full
     */
    public boolean offer(String workspace, int weight, int maxQueued, int priority, T item) {
        WorkspaceQueue<T> lane = workspaceQueues.computeIfAbsent(workspace, _name -> new WorkspaceQueue<>());
        if (size >= capacity || lane.entries.size() >= maxQueued) {
            return false;
        }
        if (lane.entries.isEmpty()) {
            lane.pass = Math.max(lane.pass, virtualTime);
        }
        lane.weight = weight;
        lane.entries.add(new Entry<>(priority, nextArrival++, item));
        size++;
        return true;
    }

    /** Takes the next entry that {@code runnable} accepts, by the shares of the workspaces. */
    public Optional<T> poll(Predicate<T> runnable) {
        return workspaceQueues.values().stream()
                .filter(lane -> !lane.entries.isEmpty())
                .sorted(Comparator.comparingDouble(lane -> lane.pass))
                .flatMap(lane -> lane.takeFirst(runnable).stream().peek(_item -> charge(lane)))
                .findFirst();
    }

    /** Removes an entry that no longer waits; returns false if it was not there. */
    public boolean remove(T item) {
        boolean removed = workspaceQueues.values().stream()
                .anyMatch(lane -> lane.entries.removeIf(entry -> entry.item().equals(item)));
        if (removed) {
            size--;
        }
        return removed;
    }

    /** Returns the number of entries. */
    public int size() {
        return size;
    }

    private void charge(WorkspaceQueue<T> lane) {
        virtualTime = Math.max(virtualTime, lane.pass);
        lane.pass += STRIDE / lane.weight;
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
