package io.heatherloft.domain.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Requests of a service that wait for capacity, in the order in which they are admitted: by priority, then by stride
 * scheduling among workspaces, then by {@link AdmissionRequest#ORDER}.
 *
 * <p>Invariants: a request that has waited for half of its time goes first among those of its priority and
 * workspace, since a workspace with a heavy load would otherwise take the slots of others; one in eight requests taken while
 * others wait is the oldest, whatever its priority. A request that no server can take is passed over and blocks no
 * other. Confined to one thread.
 *
 * @param <T> type of the requests
 */
final class AdmissionQueue<T> {
    private static final int TURNS_PER_OLDEST = 8;

    private final TreeMap<Integer, FairQueue<AdmissionRequest<T>>> byPriority = new TreeMap<>();
    private int turn;

    void add(AdmissionRequest<T> request) {
        boolean _added = byPriority
                .computeIfAbsent(
                        request.priority(), _priority -> new FairQueue<>(Integer.MAX_VALUE, AdmissionRequest.ORDER))
                .offer(request.workspace(), 1, Integer.MAX_VALUE, 0, request);
    }

    boolean remove(AdmissionRequest<T> request) {
        FairQueue<AdmissionRequest<T>> queue = byPriority.get(request.priority());
        return queue != null && queue.remove(request);
    }

    Stream<AdmissionRequest<T>> all() {
        return byPriority.values().stream().flatMap(FairQueue::items);
    }

    int size() {
        return byPriority.values().stream().mapToInt(FairQueue::size).sum();
    }

    int sizeOf(int priority) {
        FairQueue<AdmissionRequest<T>> queue = byPriority.get(priority);
        return queue == null ? 0 : queue.size();
    }

    /** Removes and returns the next request that {@code fits} accepts. */
    Optional<AdmissionRequest<T>> next(Predicate<AdmissionRequest<T>> fits, long nowMillis) {
        boolean othersWait = size() > 1;
        boolean oldestFirst = othersWait && turn == TURNS_PER_OLDEST - 1;
        Optional<AdmissionRequest<T>> taken = oldestFirst
                ? takeFirst(all().sorted(Comparator.comparingLong(AdmissionRequest::arrivedAtMillis)), fits)
                : byPriority.values().stream()
                        .flatMap(queue -> queue.poll(fits, request -> request.isProtected(nowMillis)).stream())
                        .findFirst();
        if (taken.isPresent() && othersWait) {
            turn = (turn + 1) % TURNS_PER_OLDEST;
        }
        return taken;
    }

    private Optional<AdmissionRequest<T>> takeFirst(
            Stream<AdmissionRequest<T>> requests, Predicate<AdmissionRequest<T>> fits) {
        Optional<AdmissionRequest<T>> found = requests.filter(fits).findFirst();
        found.ifPresent(request -> {
            boolean _taken = byPriority.get(request.priority()).take(request);
        });
        return found;
    }

    /** Returns how many requests are expected to be admitted before one that waits, if no further ones come. */
    int ahead(AdmissionRequest<T> request) {
        int higher = byPriority.headMap(request.priority()).values().stream()
                .mapToInt(FairQueue::size)
                .sum();
        FairQueue<AdmissionRequest<T>> queue = byPriority.get(request.priority());
        return queue == null ? higher : higher + queue.ahead(request);
    }
}
