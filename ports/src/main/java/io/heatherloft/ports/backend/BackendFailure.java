package io.heatherloft.ports.backend;

/**
 * Why an exchange with a backend server ended early. Immutable and safe for use by several threads.
 */
public record BackendFailure(Kind kind, String detail) {
    /** How far the exchange had come. */
    public enum Kind {
        /** No connection was made: the request did not run. */
        NOT_SENT,
        /** The connection broke after the request was sent: it may have run, and the backend server may be lost. */
        BROKEN,
        /** No answer came in the time allowed: the request may have run. */
        TIMED_OUT
    }
}
