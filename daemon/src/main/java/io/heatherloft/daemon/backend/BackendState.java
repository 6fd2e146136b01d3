package io.heatherloft.daemon.backend;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.domain.routing.Placement;

/**
 * What one host knows of one backend server from its own exchanges.
 *
 * <p>Invariant: {@code outstanding} equals the slots taken and not given back. Confined to the loop's thread.
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

    void acquire(boolean alone) {
        outstanding++;
        exclusivelyHeld = alone;
    }

    void release(boolean alone) {
        outstanding--;
        if (alone) {
            exclusivelyHeld = false;
        }
    }

    void recordResponse() {
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    void recordQueueLength(double waiting) {
        reportedQueueLength = waiting;
    }

    void recordLoss(long nowMillis) {
        backoffUntilMillis = nowMillis + backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }

    Placement.Candidate candidate(int limit) {
        return new Placement.Candidate(server, addressHash, outstanding, limit, reportedQueueLength);
    }
}
