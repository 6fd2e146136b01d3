package io.heatherloft.domain.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Requests of a service that wait for capacity, in the order in which they are admitted: those whose responses have begun, by
 * deadline; then by priority, then by stride scheduling among workspaces, then by {@link AdmissionRequest#ORDER}.
 *
 * <p>Invariants: a request that has waited for half of its time goes first among those of its priority and
 * workspace, since a workspace with a heavy load would otherwise take the slots of others; one in eight requests taken while
 * others wait is the oldest, whatever its priority. Requests that have begun neither count among these eight nor are charged
 * to their workspaces; there are no more of them than were admitted before. A request that no server can take is passed
 * over and blocks no other. Confined to one thread.
 *
 * @param <T> type of the requests
 */
final class AdmissionQueue<T> {
    private static final int TURNS_PER_OLDEST = 8;

    private final TreeMap<Integer, FairQueue<AdmissionRequest<T>>> byPriority = new TreeMap<>();
    private final List<AdmissionRequest<T>> begun = new ArrayList<>();
    private int turn;

    void add(AdmissionRequest<T> request) {
        if (request.begun()) {
            begun.add(request);
            return;
        }
        boolean _added = byPriority
                .computeIfAbsent(
                        request.priority(), _priority -> new FairQueue<>(Integer.MAX_VALUE, AdmissionRequest.ORDER))
                .offer(request.workspace(), 1, Integer.MAX_VALUE, 0, request);
    }

    boolean remove(AdmissionRequest<T> request) {
        FairQueue<AdmissionRequest<T>> queue = byPriority.get(request.priority());
        return begun.remove(request) || (queue != null && queue.remove(request));
    }

    Stream<AdmissionRequest<T>> all() {
        return Stream.concat(begun.stream(), notBegun());
    }

    private Stream<AdmissionRequest<T>> notBegun() {
        return byPriority.values().stream().flatMap(FairQueue::items);
    }

    int size() {
        return begun.size() + sizeOfNotBegun();
    }

    int sizeOfNotBegun() {
        return byPriority.values().stream().mapToInt(FairQueue::size).sum();
    }

    /** Returns the number of requests of a priority that have not begun. */
    int sizeOf(int priority) {
        FairQueue<AdmissionRequest<T>> queue = byPriority.get(priority);
        return queue == null ? 0 : queue.size();
    }

    /** Removes and returns the next request that {@code fits} accepts. */
    Optional<AdmissionRequest<T>> next(Predicate<AdmissionRequest<T>> fits, long nowMillis) {
        Optional<AdmissionRequest<T>> first = begun.stream()
                .sorted(Comparator.comparingLong(AdmissionRequest::deadlineAtMillis))
                .filter(fits)
                .findFirst();
        first.ifPresent(begun::remove);
        return first.or(() -> nextNotBegun(fits, nowMillis));
    }

    private Optional<AdmissionRequest<T>> nextNotBegun(Predicate<AdmissionRequest<T>> fits, long nowMillis) {
        boolean othersWait = sizeOfNotBegun() > 1;
        boolean oldestFirst = othersWait && turn == TURNS_PER_OLDEST - 1;
        Optional<AdmissionRequest<T>> taken = oldestFirst
                ? takeFirst(notBegun().sorted(Comparator.comparingLong(AdmissionRequest::arrivedAtMillis)), fits)
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
        if (request.begun()) {
            return (int) begun.stream()
                    .filter(other -> other.deadlineAtMillis() < request.deadlineAtMillis())
                    .count();
        }
        int higher = begun.size()
                + byPriority.headMap(request.priority()).values().stream()
                        .mapToInt(FairQueue::size)
                        .sum();
        FairQueue<AdmissionRequest<T>> queue = byPriority.get(request.priority());
        return queue == null ? higher : higher + queue.ahead(request);
    }
}
