package io.heatherloft.router.backend;

/**
 * The reason why an exchange with a backend server did not yield a complete response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param refused true if the server's address refused the connection, so that no process listens there
 * @param confirmed true if no other host could connect to the server either
 */
public record ExchangeFailure(Kind kind, String reason, boolean refused, boolean confirmed) {
    /** Creates a failure that tells nothing of the server's address. */
    public ExchangeFailure(Kind kind, String reason) {
        this(kind, reason, false, false);
    }

    /** Whether the backend server may have processed the request. */
    public enum Kind {
        /** No byte of the request was sent, so it was not processed. */
        NOT_SENT,
        /** The request was sent, at least in part, and may have been processed. */
        BROKEN
    }
}
