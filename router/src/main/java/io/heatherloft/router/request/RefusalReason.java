package io.heatherloft.router.request;

/**
 * Why the router ends a request with a local reply, and the HTTP status of that reply.
 *
 * <p>Statuses 429 and 503 state that the request has not been executed and will not be. Immutable and safe for use by
 * several threads.
 */
public enum RefusalReason {
    /** This host has not received a configuration yet. */
    NO_CONFIGURATION(503, 0.5),
    /** No route matches the host name and path. */
    NO_ROUTE(404, 0),
    /** The request has no API key, or one that belongs to no workspace. */
    UNKNOWN_KEY(401, 0),
    /** The request has no attempt ID, or an unreadable one. */
    NO_IDENTITY(400, 0),
    /** The service has no usable backend server. */
    NO_BACKEND(503, 0.5),
    /** All backend servers of the service are in availability zones that an operator has evacuated. */
    ZONE_EVACUATED(503, 1),
    /** All backend servers have named limits, and this host's share of them is used up. */
    SERVERS_AT_LIMIT(503, 1),
    /** All backend servers of the service have asked this host for rest; the delay depends on them. */
    SERVERS_AT_REST(503, 1),
    /** All backend servers that could run the request are cold, and this host may send them none now; the delay depends on them. */
    SERVERS_COLD(503, 1),
    /** No backend server has capacity for the request, and it cannot wait for one in time; the delay is computed. */
    NO_CAPACITY(503, 1),
    /** The backend servers tried refused the request without executing it, or could not be reached. */
    NOT_ACCEPTED(503, 0.3),
    /** The request is blocked because backend servers crashed repeatedly while executing it. */
    CRASHES_SERVERS(503, 300),
    /** The request is blocked because backend servers crashed on a part of its prompt. */
    CRASHING_PROMPT(503, 300),
    /** The host ends, and no backend server can have executed the request. */
    HOST_STOPPING(503, 0.1),
    /** The deadline passed before the request was sent to a backend server. */
    EXPIRED_UNSENT(503, 0.2),
    /** The deadline passed after the request was sent to a backend server. */
    TIMED_OUT(504, 0),
    /** A backend server may have executed the request, but its response was lost or incomplete. */
    ANSWER_LOST(502, 0);

    private final int status;
    private final double retryAfterSeconds;

    RefusalReason(int status, double retryAfterSeconds) {
        this.status = status;
        this.retryAfterSeconds = retryAfterSeconds;
    }

    /** Returns the HTTP status of the local reply. */
    public int status() {
        return status;
    }

    /** Returns the value of the Retry-After header in seconds; 0 if the header is omitted. */
    public double retryAfterSeconds() {
        return retryAfterSeconds;
    }
}
