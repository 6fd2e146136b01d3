package io.heatherloft.daemon.backend;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.domain.routing.Placement;

/**
 * This host's state for one backend server, derived from its own exchanges with it.
 *
 * <p>Invariant: {@code outstanding} equals the number of slots acquired and not yet released. Confined to the event loop
 * thread.
 */
final class BackendState {
    private static final long INITIAL_BACKOFF_MILLIS = 500L;
    private static final long MAX_BACKOFF_MILLIS = 10_000L;

    private final long addressHash;
    private BackendServer server;
    private int outstanding;
    private boolean exclusivelyHeld;
    private double reportedQueueLength;
    private long backoffUntilMillis;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    BackendState(BackendServer server) {
        this.server = server;
        this.addressHash = StableHash.of(server.address());
    }

    BackendServer server() {
        return server;
    }

    void update(BackendServer listed) {
        server = listed;
    }

    boolean isUsable(long nowMillis) {
        return nowMillis >= backoffUntilMillis && !exclusivelyHeld;
    }

    boolean isIdle() {
        return outstanding == 0;
    }

    void acquire(boolean exclusive) {
        outstanding++;
        exclusivelyHeld = exclusive;
    }

    void release(boolean exclusive) {
        outstanding--;
        if (exclusive) {
            exclusivelyHeld = false;
        }
    }

    void recordResponse() {
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    void recordQueueLength(double queueLength) {
        reportedQueueLength = queueLength;
    }

    void recordLoss(long nowMillis) {
        backoffUntilMillis = nowMillis + backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }

    Placement.Candidate candidate(int limit) {
        return new Placement.Candidate(server, addressHash, outstanding, limit, reportedQueueLength);
    }
}
