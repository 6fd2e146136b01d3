package io.heatherloft.ports.backend;

/**
 * Sends requests to backend servers. Confined to the event loop thread.
 */
@FunctionalInterface
public interface BackendClient {
    /** Sends a request and passes the response to {@code listener}. */
    Exchange send(BackendRequest request, BackendListener listener);

    /** A request in progress. */
    @FunctionalInterface
    interface Exchange {
        /** Cancels the request; the listener is not called afterwards. */
        void cancel();
    }
}
