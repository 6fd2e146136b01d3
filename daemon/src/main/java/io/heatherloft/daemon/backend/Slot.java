package io.heatherloft.daemon.backend;

import io.heatherloft.domain.routing.BackendServer;

/**
 * A unit of a backend server's capacity, held for one attempt.
 *
 * <p>Invariant: released at most once. Confined to the event loop thread.
 */
public final class Slot {
    private final BackendState state;
    private final boolean exclusive;
    private final Runnable onRelease;
    private Runnable releaseListener = () -> {};
    private boolean released;

    Slot(BackendState state, boolean exclusive, Runnable onRelease) {
        this.state = state;
        this.exclusive = exclusive;
        this.onRelease = onRelease;
        state.acquire(exclusive);
    }

    /** Returns the backend server. */
    public BackendServer server() {
        return state.server();
    }

    /** Records that the backend server responded, which resets its backoff. */
    public void recordResponse() {
        state.recordResponse();
    }

    /** Records the number of waiting requests that the backend server reports. */
    public void recordQueueLength(double queueLength) {
        state.recordQueueLength(queueLength);
    }

    /** Records that the backend server did not respond, which excludes it for the backoff time. */
    public void recordLoss(long nowMillis) {
        state.recordLoss(nowMillis);
    }

    /** Sets the action to run when the slot is released; replaces an earlier one. */
    public void onRelease(Runnable action) {
        releaseListener = action;
    }

    /** Releases the slot; has no effect if it is already released. */
    public void release() {
        if (!released) {
            released = true;
            state.release(exclusive);
            releaseListener.run();
            onRelease.run();
        }
    }
}
