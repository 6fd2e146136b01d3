package io.heatherloft.daemon.backend;

import io.heatherloft.domain.routing.BackendServer;

/**
 * A place on a backend server, held for one attempt.
 *
 * <p>Invariant: given back at most once. Confined to the loop's thread.
 */
public final class Slot {
    private final BackendState state;
    private final boolean exclusive;
    private final Runnable onRelease;
    private Runnable releaseListener = () -> {};
    private boolean released;

    Slot(BackendState state, boolean alone, Runnable onGivenBack) {
        this.state = state;
        this.exclusive = alone;
        this.onRelease = onGivenBack;
        state.acquire(alone);
    }

    /** Returns the backend server. */
    public BackendServer server() {
        return state.server();
    }

    /** Records that the backend server answers. */
    public void recordResponse() {
        state.recordResponse();
    }

    /** Records how many requests the backend server reports as waiting. */
    public void recordQueueLength(double waiting) {
        state.recordQueueLength(waiting);
    }

    /** Records that the backend server did not answer. */
    public void recordLoss(long nowMillis) {
        state.recordLoss(nowMillis);
    }

    /** Runs an action when the place is given back. */
    public void onRelease(Runnable action) {
        releaseListener = action;
    }

    /** Gives the place back; further calls do nothing. */
    public void release() {
        if (!released) {
            released = true;
            state.release(exclusive);
            releaseListener.run();
            onRelease.run();
        }
    }
}
