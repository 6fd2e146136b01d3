package io.heatherloft.ports.backend;

/**
 * Sends requests to backend servers. Confined to the loop's thread.
 */
@FunctionalInterface
public interface BackendClient {
    /** Sends a request; the answer goes to the listener. */
    Exchange send(BackendRequest request, BackendListener listener);

    /** A request in progress. */
    @FunctionalInterface
    interface Exchange {
        /** Stops the request; the listener is not called again. */
        void cancel();
    }
}
