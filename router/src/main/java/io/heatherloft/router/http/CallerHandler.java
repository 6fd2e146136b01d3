package io.heatherloft.router.http;

/** Handles the requests of callers. Called on the loop's thread. */
@FunctionalInterface
public interface CallerHandler {
    /** Called when a complete request has arrived; the handler sends exactly one response through the exchange. */
    void onRequest(CallerRequest request, CallerExchange exchange);
}
