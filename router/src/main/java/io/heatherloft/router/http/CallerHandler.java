package io.heatherloft.router.http;

/** Receives the requests of callers. Called on the loop's thread. */
@FunctionalInterface
public interface CallerHandler {
    /** A whole request has arrived; it is answered through the exchange, once. */
    void onRequest(CallerRequest request, CallerExchange exchange);
}
