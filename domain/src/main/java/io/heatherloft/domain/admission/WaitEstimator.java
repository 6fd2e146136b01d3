package io.heatherloft.domain.admission;

/**
 * Estimates the wait of a new entry of a queue from the rate at which entries leave it.
 *
 * <p>Invariant: with no departures seen the estimate is zero, so that a cold start refuses nothing. Confined to one
 * thread.
 */
public final class WaitEstimator {
    private static final double SMOOTHING_FACTOR = 0.1;

    private long lastDepartureMillis = Long.MIN_VALUE;
    private double intervalMillis;

    /** Records that an entry has left. */
    public void recordDeparture(long nowMillis) {
        if (lastDepartureMillis != Long.MIN_VALUE) {
            double interval = nowMillis - lastDepartureMillis;
            intervalMillis += SMOOTHING_FACTOR * (interval - intervalMillis);
        }
        lastDepartureMillis = nowMillis;
    }

    /** Returns the expected wait, in milliseconds, behind {@code entriesAhead} others. */
    public long expectedWaitMillis(int entriesAhead) {
        return Math.round(intervalMillis * entriesAhead);
    }
}
