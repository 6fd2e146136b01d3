package io.heatherloft.domain.route;

/**
 * Decides from the outcomes of requests whether a backend server takes new ones.
 *
 * <p>Invariant: a server that is set aside is offered one request at a time once its pause is over, and returns only
 * after that one succeeds. Confined to one thread.
 */
public final class BackendHealth {
    // Weight of the newest outcome; about the last eight outcomes count.
    private static final double NEWEST_WEIGHT = 0.125;
    // Failure rate above which a server is set aside; sound services fail up to one request in seven.
    private static final double SET_ASIDE_RATE = 0.4;
    private static final long FIRST_PAUSE_MILLIS = 1_000L;
    private static final long LONGEST_PAUSE_MILLIS = 8_000L;

    private double failureRate;
    private long setAsideUntilMillis;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean setAside;
    private boolean trialInProgress;

    /** Records a request that the server answered as it should. */
    public void recordSuccess() {
        failureRate *= 1 - NEWEST_WEIGHT;
        trialInProgress = false;
        if (setAside) {
            setAside = false;
            pauseMillis = FIRST_PAUSE_MILLIS;
            failureRate = SET_ASIDE_RATE / 2;
        }
    }

    /** Records a request that failed on the server. */
    public void recordFailure(long nowMillis) {
        failureRate = failureRate * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        trialInProgress = false;
        if (failureRate > SET_ASIDE_RATE) {
            pauseMillis = setAside ? Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2) : pauseMillis;
            setAside = true;
            setAsideUntilMillis = nowMillis + pauseMillis;
        }
    }

    /** Records that the server could not be reached: it is set aside at once. */
    public void recordUnreachable(long nowMillis) {
        failureRate = 1;
        recordFailure(nowMillis);
    }

    /** Records that a request ended without saying anything about the server. */
    public void recordNothing() {
        trialInProgress = false;
    }

    /** Returns true if the server takes new requests. */
    public boolean isAvailable(long nowMillis) {
        return !setAside || (!trialInProgress && nowMillis >= setAsideUntilMillis);
    }

    /** A request is being sent. */
    public void onDispatch() {
        trialInProgress |= setAside;
    }

    /** Returns the smoothed share of requests that failed, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }
}
