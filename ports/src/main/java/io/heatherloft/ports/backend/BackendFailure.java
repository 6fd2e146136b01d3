package io.heatherloft.ports.backend;

/**
 * Reason that an exchange with a backend server ended before the response was complete. Immutable and thread-safe.
 */
public record BackendFailure(Kind kind, String detail) {
    /** Tells whether the request may have been executed. */
    public enum Kind {
        /** No connection was established: the request was not executed. */
        NOT_SENT,
        /** The connection failed later: the request may have been executed, and the backend server may be down. */
        BROKEN,
        /** No response arrived within the timeout: the request may have been executed. */
        TIMED_OUT
    }
}
