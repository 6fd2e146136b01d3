package io.heatherloft.domain.admission;

/**
 * Until when a host that stops sends requests to servers, and when it ends what is still in progress.
 *
 * <p>A request that could outlast the host is sent only until {@code lastSendMillis}, so that it goes to a host that remains; one
 * whose deadline lies before the end is always sent. Immutable and thread-safe.
 *
 * @param lastSendMillis time after which no request is sent whose deadline lies after the end
 * @param endMillis time at which requests that are still in progress are ended
 */
public record StopDeadlines(long lastSendMillis, long endMillis) {
    /** The deadlines of a host that does not stop. */
    public static final StopDeadlines NONE = new StopDeadlines(Long.MAX_VALUE, Long.MAX_VALUE);

    /** Returns true if a request with the given deadline may be sent now. */
    public boolean maySend(long deadlineAtMillis, long nowMillis) {
        return nowMillis < latestSendMillis(deadlineAtMillis);
    }

    /** Returns the time from which a request with the given deadline is no longer sent. */
    public long latestSendMillis(long deadlineAtMillis) {
        return outlasts(deadlineAtMillis) ? lastSendMillis : deadlineAtMillis;
    }

    /**
     * Returns the time from which a request no longer waits to be sent: one that could outlast the host must also be
     * expected to end before it.
     *
     * @param expectedMillis expected time from the send to the end of the response, in milliseconds; 0 if it is unknown
     */
    long latestSendMillis(long deadlineAtMillis, double expectedMillis) {
        long latest = latestSendMillis(deadlineAtMillis);
        return outlasts(deadlineAtMillis) ? Math.min(latest, endMillis - (long) expectedMillis) : latest;
    }

    /** Returns true if the deadline of a request lies after the end. */
    public boolean outlasts(long deadlineAtMillis) {
        return deadlineAtMillis > endMillis;
    }
}
