package io.heatherloft.router.request;

/**
 * Why the router itself ends a request, with the status of the answer.
 *
 * <p>Statuses 429 and 503 state that the request has not run and will not. Immutable and safe for use by several
 * threads.
 */
public enum RefusalReason {
    /** No configuration is known yet. */
    NO_CONFIGURATION(503, 0.5),
    /** No route begins the path. */
    NO_ROUTE(404, 0),
    /** The request has no key, or one that no workspace holds. */
    UNKNOWN_KEY(401, 0),
    /** The request has no identity or states no readable one. */
    NO_IDENTITY(400, 0),
    /** No backend server of the service is in use. */
    NO_BACKEND(503, 0.5),
    /** Every backend server refused the request without running it, or could not be reached. */
    NOT_ACCEPTED(503, 0.3),
    /** Backend servers crashed each time that they ran the request. */
    CRASHES_SERVERS(503, 60),
    /** The time for the request ended before it was sent to a backend server. */
    EXPIRED_UNSENT(503, 0.2),
    /** The time for the request ended while a backend server had it. */
    TIMED_OUT(504, 0),
    /** A backend server may have run the request, and its answer is lost or broken. */
    ANSWER_LOST(502, 0);

    private final int status;
    private final double retryAfterSeconds;

    RefusalReason(int status, double retryAfterSeconds) {
        this.status = status;
        this.retryAfterSeconds = retryAfterSeconds;
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** Returns the time after which the caller may come again, in seconds; 0 if it is told none. */
    public double retryAfterSeconds() {
        return retryAfterSeconds;
    }
}
