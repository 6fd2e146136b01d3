package io.heatherloft.daemon.backend;

/** No place on a backend server can be had in time; nothing was sent. */
public final class NoCapacityException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Reason reason;
    private final long retryAfterMillis;

    /** Creates an exception that tells when to come back. */
    public NoCapacityException(Reason reason, long retryAfterMillis) {
        super(reason + ", retry after " + retryAfterMillis + " ms");
        this.reason = reason;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns why there is no place. */
    public Reason reason() {
        return reason;
    }

    /** Returns the time after which there may be a place, in milliseconds. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }

    /** Why there is no place. */
    public enum Reason {
        /** The queue, or the workspace's share of it, is full. */
        QUEUE_FULL,
        /** The wait would be longer than the time left. */
        TOO_LATE,
        /** The pool has no backend server that takes work. */
        NO_BACKEND
    }
}
