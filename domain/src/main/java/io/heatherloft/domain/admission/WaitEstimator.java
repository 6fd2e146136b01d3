package io.heatherloft.domain.admission;

/**
 * Estimates the waiting time of a new queue entry from the rate at which entries leave the queue.
 *
 * <p>Invariant: before the second departure the estimate is zero, so that no request is refused after a cold start.
 * Confined to one thread.
 */
public final class WaitEstimator {
    private static final double SMOOTHING_FACTOR = 0.1;

    private long lastDepartureMillis = Long.MIN_VALUE;
    private double intervalMillis;

    /** Records that an entry has left the queue. */
    public void recordDeparture(long nowMillis) {
        if (lastDepartureMillis != Long.MIN_VALUE) {
            double interval = nowMillis - lastDepartureMillis;
            intervalMillis += SMOOTHING_FACTOR * (interval - intervalMillis);
        }
        lastDepartureMillis = nowMillis;
    }

    /** Returns the expected waiting time, in milliseconds, behind {@code entriesAhead} other entries. */
    public long expectedWaitMillis(int entriesAhead) {
        return Math.round(intervalMillis * entriesAhead);
    }
}
