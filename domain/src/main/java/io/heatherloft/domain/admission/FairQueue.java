package io.heatherloft.domain.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * A bounded queue that schedules a contended resource among workspaces in proportion to their weights (stride
 * scheduling, Waldspurger and Weihl 1995). Within a workspace, entries are ordered by priority, then by the order
 * of the items if one was given, and then by arrival.
 *
 * <p>Invariants: a workspace with a backlog receives its weighted share of the items taken, regardless of the backlogs
 * of others; an idle workspace accumulates no credit. Confined to one thread.
 *
 * @param <T> type of the queued items
 */
public final class FairQueue<T> {
    private static final double STRIDE = 1.0;

    private final int capacity;
    private final Comparator<Entry<T>> order;
    private final Map<String, WorkspaceQueue<T>> workspaceQueues = new HashMap<>();
    private double virtualTime;
    private long nextArrival;
    private int size;

    /** Creates a queue that holds at most {@code capacity} entries. */
    public FairQueue(int capacity) {
        this(capacity, (_first, _second) -> 0);
    }

    /**
     * Creates a queue that holds at most {@code capacity} entries.
     *
     * @param itemOrder order of the items of one workspace with the same priority
     */
    public FairQueue(int capacity, Comparator<? super T> itemOrder) {
        this.capacity = capacity;
        this.order = Comparator.<Entry<T>>comparingInt(entry -> -entry.priority())
                .thenComparing(Entry::item, itemOrder)
                .thenComparingLong(Entry::arrival);
    }

    /**
     * Adds an item to the queue of its workspace.
     *
     * @param maxQueued maximum number of queued items of the workspace
     * @param priority items with a higher value are served first within the workspace
     * @return false if the queue is full or the workspace has reached its limit
     */
    public boolean offer(String workspace, int weight, int maxQueued, int priority, T item) {
        WorkspaceQueue<T> queue = workspaceQueues.computeIfAbsent(workspace, _name -> new WorkspaceQueue<>(order));
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
        return poll(runnable, _item -> false);
    }

    /**
     * Removes and returns the next item that {@code runnable} accepts, in the order of stride scheduling; within its
     * workspace, an item that {@code preferred} accepts goes first.
     */
    public Optional<T> poll(Predicate<T> runnable, Predicate<T> preferred) {
        return workspaceQueues.values().stream()
                .filter(queue -> !queue.entries.isEmpty())
                .sorted(Comparator.comparingDouble(queue -> queue.pass))
                .flatMap(queue -> queue.takeFirst(preferred.and(runnable)).or(() -> queue.takeFirst(runnable)).stream()
                        .peek(_item -> charge(queue)))
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

    /** Removes an item out of turn and charges its workspace for it; returns false if it is not in the queue. */
    public boolean take(T item) {
        return workspaceQueues.values().stream()
                .filter(queue -> queue.takeFirst(item::equals).isPresent())
                .peek(this::chargeOutOfTurn)
                .findFirst()
                .isPresent();
    }

    /** Returns the queued items in no particular order. */
    public Stream<T> items() {
        return workspaceQueues.values().stream().flatMap(WorkspaceQueue::items);
    }

    /** Returns how many of the queued items go before one of them if no further ones come. */
    public int ahead(T item) {
        return workspaceQueues.values().stream()
                .filter(queue -> queue.items().anyMatch(item::equals))
                .findFirst()
                .map(own -> {
                    long before =
                            own.items().takeWhile(other -> !other.equals(item)).count();
                    double turn = own.pass + before * STRIDE / own.weight;
                    return (int) before
                            + workspaceQueues.values().stream()
                                    .filter(queue -> queue != own)
                                    .mapToInt(queue -> queue.countBefore(turn))
                                    .sum();
                })
                .orElse(size);
    }

    /** Returns the number of queued items. */
    public int size() {
        return size;
    }

    private void charge(WorkspaceQueue<T> queue) {
        virtualTime = Math.max(virtualTime, queue.pass);
        chargeOutOfTurn(queue);
    }

    // The virtual time stays: a workspace that is served out of turn may be far ahead of those whose turn it is.
    private void chargeOutOfTurn(WorkspaceQueue<T> queue) {
        queue.pass += STRIDE / queue.weight;
        size--;
    }

    private record Entry<T>(int priority, long arrival, T item) {}

    private static final class WorkspaceQueue<T> {
        private final TreeSet<Entry<T>> entries;
        private double pass;
        private int weight = 1;

        WorkspaceQueue(Comparator<Entry<T>> order) {
            this.entries = new TreeSet<>(order);
        }

        Stream<T> items() {
            return entries.stream().map(Entry::item);
        }

        int countBefore(double turn) {
            return (int) Math.min(entries.size(), Math.max(0, Math.ceil((turn - pass) * weight / STRIDE)));
        }

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
