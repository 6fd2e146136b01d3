package io.heatherloft.domain.route;

/**
 * Says whether a request may run more than once.
 *
 * <p>Immutable and safe for use by several threads.
 */
public enum RepeatPolicy {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request runs at most once. */
    AT_MOST_ONCE,
    /** The answer is a stream of events that runs at most once. */
    STREAM,
    /** The answer is a stream of events that another backend server may continue after the last event received. */
    RESUMABLE_STREAM;

    /** Returns true if a second backend server may run the request although a first one may have run it. */
    public boolean mayRepeat() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /** Returns true if the answer is a stream of events. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
