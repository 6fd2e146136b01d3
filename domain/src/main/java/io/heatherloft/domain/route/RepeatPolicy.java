package io.heatherloft.domain.route;

/**
 * Whether a request may run more than once.
 *
 * <p>Immutable and thread-safe.
 */
public enum RepeatPolicy {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request runs at most once. */
    AT_MOST_ONCE,
    /** The answer is a stream of events that runs at most once. */
    STREAM,
    /** The answer is a stream of events that another backend server may resume after the last event received. */
    RESUMABLE_STREAM;

    /** Returns true if a request that may already have run may be sent to another backend server. */
    public boolean mayRepeat() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /** Returns true if the answer is a stream of events. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
