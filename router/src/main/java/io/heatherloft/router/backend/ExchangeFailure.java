package io.heatherloft.router.backend;

/**
 * Why an exchange with a backend server has no complete answer.
 *
 * <p>Immutable and safe for use by several threads.
 */
public record ExchangeFailure(Kind kind, String reason) {

    /** What a failure says about the request. */
    public enum Kind {
        /** No byte of the request was sent; the request has not run. */
        NOT_SENT,
        /** The request was sent, wholly or partly; it may have run. */
        BROKEN
    }
}
