package io.heatherloft.daemon.backend;

import io.heatherloft.daemon.Counters;
import io.heatherloft.domain.BoundedMap;
import io.heatherloft.domain.admission.FairQueue;
import io.heatherloft.domain.admission.WaitEstimator;
import io.heatherloft.domain.routing.Placement;
import io.heatherloft.ports.loop.Loop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Hands out the places of one pool in fair order.
 *
 * <p>Invariants: a request is refused as soon as its expected wait passes its deadline, rather than at the deadline; a
 * workspace runs at most its limit at once; whoever waits is answered by a place or a refusal. Confined to the loop's
 * thread.
 */
final class PoolQueue {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final long MIN_RETRY_AFTER_MILLIS = 250L;
    private static final long RECHECK_INTERVAL_MILLIS = 100L;
    private static final int MAX_RECENT_PREFIXES = 4_096;

    private final Loop loop;
    private final Counters counters;
    private final Supplier<List<BackendState>> servers;
    private final Supplier<Integer> limitPerServer;
    private final FairQueue<PendingRequest> queue = new FairQueue<>(QUEUE_CAPACITY);
    private final WaitEstimator waitEstimator = new WaitEstimator();
    private final Map<String, Integer> runningByWorkspace = new HashMap<>();
    private final Map<Long, Boolean> recentPrefixes = BoundedMap.withFifoEviction(MAX_RECENT_PREFIXES);
    private boolean recheckScheduled;

    PoolQueue(Loop loop, Counters counters, Supplier<List<BackendState>> servers, Supplier<Integer> limitPerServer) {
        this.loop = loop;
        this.counters = counters;
        this.servers = servers;
        this.limitPerServer = limitPerServer;
    }

    CompletableFuture<Slot> acquire(SlotRequest request) {
        if (servers.get().isEmpty()) {
            return refusal(NoCapacityException.Reason.NO_BACKEND);
        }
        if (loop.nowMillis() + waitEstimator.expectedWaitMillis(queue.size()) > request.deadlineMillis()) {
            counters.count("admission.refused-early");
            return refusal(NoCapacityException.Reason.TOO_LATE);
        }
        PendingRequest waiter = new PendingRequest(request, new CompletableFuture<>());
        boolean queued = queue.offer(
                request.workspace().name(),
                request.workspace().limits().weight(),
                request.workspace().limits().maxQueued() + 1,
                request.priority(),
                waiter);
        if (!queued) {
            counters.count("admission.refused-queue-full");
            return refusal(NoCapacityException.Reason.QUEUE_FULL);
        }
        dispatch();
        if (!waiter.slot().isDone()) {
            long patience = Math.max(0, request.deadlineMillis() - loop.nowMillis());
            loop.schedule(patience, () -> expire(waiter));
        }
        return waiter.slot();
    }

    /** Gives places to those who wait, as far as there are any. */
    void dispatch() {
        Optional<Assignment> next = nextAssignment();
        while (next.isPresent()) {
            assign(next.get());
            next = nextAssignment();
        }
        if (queue.size() > 0 && !recheckScheduled) {
            recheckScheduled = true;
            loop.schedule(RECHECK_INTERVAL_MILLIS, () -> {
                recheckScheduled = false;
                dispatch();
            });
        }
    }

    /** Refuses all who wait. */
    void refuseWaiting() {
        List<PendingRequest> waiting = new ArrayList<>();
        Optional<PendingRequest> next = queue.poll(_waiter -> true);
        while (next.isPresent()) {
            waiting.add(next.get());
            next = queue.poll(_waiter -> true);
        }
        waiting.forEach(
                waiter -> waiter.slot().completeExceptionally(noCapacity(NoCapacityException.Reason.NO_BACKEND)));
    }

    private Optional<Assignment> nextAssignment() {
        if (queue.size() == 0) {
            return Optional.empty();
        }
        Map<PendingRequest, BackendState> places = new HashMap<>();
        return queue.poll(waiter -> {
                    Optional<BackendState> place = selectBackend(waiter.request());
                    place.ifPresent(state -> places.put(waiter, state));
                    return place.isPresent();
                })
                .map(waiter -> new Assignment(waiter, places.get(waiter)));
    }

    private Optional<BackendState> selectBackend(SlotRequest request) {
        String workspace = request.workspace().name();
        if (runningByWorkspace.getOrDefault(workspace, 0) >= request.workspace().limits().maxInFlight()) {
            return Optional.empty();
        }
        long now = loop.nowMillis();
        List<BackendState> usable = servers.get().stream()
                .filter(state -> state.isUsable(now)
                        && !request.excludedAddresses().contains(state.server().address()))
                .filter(state -> !request.exclusive() || state.isIdle())
                .toList();
        Map<Placement.Candidate, BackendState> states = new HashMap<>();
        usable.forEach(state -> states.put(state.candidate(limitPerServer.get()), state));
        return Placement.choose(
                        List.copyOf(states.keySet()),
                        request.prefixHash(),
                        recentPrefixes.containsKey(request.prefixHash()))
                .map(states::get);
    }

    private void assign(Assignment placed) {
        String workspace = placed.pending().request().workspace().name();
        runningByWorkspace.merge(workspace, 1, Integer::sum);
        waitEstimator.recordDeparture(loop.nowMillis());
        recentPrefixes.put(placed.pending().request().prefixHash(), Boolean.TRUE);
        Slot slot = new Slot(placed.state(), placed.pending().request().exclusive(), () -> {
            runningByWorkspace.computeIfPresent(workspace, (_name, count) -> count > 1 ? Integer.valueOf(count - 1) : null);
            dispatch();
        });
        if (!placed.pending().slot().complete(slot)) {
            slot.release();
        }
    }

    private void expire(PendingRequest waiter) {
        if (queue.remove(waiter)) {
            counters.count("admission.expired-in-queue");
            waiter.slot().completeExceptionally(noCapacity(NoCapacityException.Reason.TOO_LATE));
        }
    }

    private CompletableFuture<Slot> refusal(NoCapacityException.Reason reason) {
        return CompletableFuture.failedFuture(noCapacity(reason));
    }

    private NoCapacityException noCapacity(NoCapacityException.Reason reason) {
        return new NoCapacityException(
                reason, Math.max(MIN_RETRY_AFTER_MILLIS, waitEstimator.expectedWaitMillis(queue.size())));
    }

    private record Assignment(PendingRequest pending, BackendState state) {}

    private record PendingRequest(SlotRequest request, CompletableFuture<Slot> slot) {
        @Override
        public boolean equals(Object other) {
            return this == other;
        }

        @Override
        public int hashCode() {
            return System.identityHashCode(this);
        }
    }
}
