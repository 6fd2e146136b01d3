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
    private static final long FIRST_BACKOFF_MILLIS = 500L;
    private static final long LONGEST_BACKOFF_MILLIS = 10_000L;

    private final long addressHash;
    private BackendServer server;
    private int outstanding;
    private boolean reservedForOne;
    private double reportedWaiting;
    private long unusableUntilMillis;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;

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
        return nowMillis >= unusableUntilMillis && !reservedForOne;
    }

    boolean isIdle() {
        return outstanding == 0;
    }

    void take(boolean alone) {
        outstanding++;
        reservedForOne = alone;
    }

    void giveBack(boolean alone) {
        outstanding--;
        if (alone) {
            reservedForOne = false;
        }
    }

    void recordAnswer() {
        backoffMillis = FIRST_BACKOFF_MILLIS;
    }

    void recordWaiting(double waiting) {
        reportedWaiting = waiting;
    }

    void recordLoss(long nowMillis) {
        unusableUntilMillis = nowMillis + backoffMillis;
        backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, backoffMillis * 2);
    }

    Placement.Candidate candidate(int limit) {
        return new Placement.Candidate(server, addressHash, outstanding, limit, reportedWaiting);
    }
}
