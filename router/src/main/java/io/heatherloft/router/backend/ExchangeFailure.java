package io.heatherloft.router.backend;

/**
 * The reason why an exchange with a backend server did not yield a complete response.
 *
 * <p>Immutable and thread-safe.
 */
public record ExchangeFailure(Kind kind, String reason) {

    /** Whether the backend server may have processed the request. */
    public enum Kind {
        /** No byte of the request was sent, so it was not processed. */
        NOT_SENT,
        /** The request was sent, at least in part, and may have been processed. */
        BROKEN
    }
}
