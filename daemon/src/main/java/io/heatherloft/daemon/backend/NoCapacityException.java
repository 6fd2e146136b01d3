package io.heatherloft.daemon.backend;

/** Thrown if no slot on a backend server becomes available in time; no request has been sent. */
public final class NoCapacityException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Reason reason;
    private final long retryAfterMillis;

    /** Creates an exception with the time after which the request may be retried. */
    public NoCapacityException(Reason reason, long retryAfterMillis) {
        super(reason + ", retry after " + retryAfterMillis + " ms");
        this.reason = reason;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns the reason why no slot is available. */
    public Reason reason() {
        return reason;
    }

    /** Returns the time after which a slot may be available, in milliseconds. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }

    /** Reason why no slot is available. */
    public enum Reason {
        /** The queue is full, or the workspace has reached its limit of queued requests. */
        QUEUE_FULL,
        /** The expected wait exceeds the time left until the deadline, or the deadline passed in the queue. */
        TOO_LATE,
        /** The pool has no backend server that accepts new requests, or the host is shutting down. */
        NO_BACKEND
    }
}
