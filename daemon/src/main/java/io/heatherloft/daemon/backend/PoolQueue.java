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
 * Queues the requests for one pool and assigns slots to them by fair queueing.
 *
 * <p>Invariants: a request whose expected wait exceeds its deadline is refused immediately rather than at the deadline;
 * a workspace never exceeds its limit of requests in flight; every queued request gets either a slot or a refusal.
 * Confined to the event loop thread.
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
        PendingRequest pending = new PendingRequest(request, new CompletableFuture<>());
        boolean queued = queue.offer(
                request.workspace().name(),
                request.workspace().limits().weight(),
                request.workspace().limits().maxQueued() + 1,
                request.priority(),
                pending);
        if (!queued) {
            counters.count("admission.refused-queue-full");
            return refusal(NoCapacityException.Reason.QUEUE_FULL);
        }
        dispatch();
        if (!pending.slot().isDone()) {
            long remainingMillis = Math.max(0, request.deadlineMillis() - loop.nowMillis());
            loop.schedule(remainingMillis, () -> expire(pending));
        }
        return pending.slot();
    }

    /** Assigns free slots to queued requests until no slot or no eligible request is left. */
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

    /** Refuses all queued requests. */
    void refuseWaiting() {
        List<PendingRequest> refused = new ArrayList<>();
        Optional<PendingRequest> next = queue.poll(_pending -> true);
        while (next.isPresent()) {
            refused.add(next.get());
            next = queue.poll(_pending -> true);
        }
        refused.forEach(
                pending -> pending.slot().completeExceptionally(noCapacity(NoCapacityException.Reason.NO_BACKEND)));
    }

    private Optional<Assignment> nextAssignment() {
        if (queue.size() == 0) {
            return Optional.empty();
        }
        Map<PendingRequest, BackendState> backends = new HashMap<>();
        return queue.poll(pending -> {
                    Optional<BackendState> backend = selectBackend(pending.request());
                    backend.ifPresent(state -> backends.put(pending, state));
                    return backend.isPresent();
                })
                .map(pending -> new Assignment(pending, backends.get(pending)));
    }

    private Optional<BackendState> selectBackend(SlotRequest request) {
        String workspace = request.workspace().name();
        if (runningByWorkspace.getOrDefault(workspace, 0)
                >= request.workspace().limits().maxInFlight()) {
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

    private void assign(Assignment assignment) {
        String workspace = assignment.pending().request().workspace().name();
        runningByWorkspace.merge(workspace, 1, Integer::sum);
        waitEstimator.recordDeparture(loop.nowMillis());
        recentPrefixes.put(assignment.pending().request().prefixHash(), Boolean.TRUE);
        Slot slot = new Slot(assignment.state(), assignment.pending().request().exclusive(), () -> {
            runningByWorkspace.computeIfPresent(
                    workspace, (_name, count) -> count > 1 ? Integer.valueOf(count - 1) : null);
            dispatch();
        });
        if (!assignment.pending().slot().complete(slot)) {
            slot.release();
        }
    }

    private void expire(PendingRequest pending) {
        if (queue.remove(pending)) {
            counters.count("admission.expired-in-queue");
            pending.slot().completeExceptionally(noCapacity(NoCapacityException.Reason.TOO_LATE));
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
