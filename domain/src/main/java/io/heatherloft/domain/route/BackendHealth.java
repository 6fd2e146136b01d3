package io.heatherloft.domain.route;

/**
 * Decides from the outcomes of requests whether a backend server takes new ones.
 *
 * <p>Invariant: a server that is set aside is offered one request at a time once its pause is over, and returns only
 * after that one succeeds. Confined to one thread.
 */
public final class BackendHealth {
    // Weight of the newest outcome; about the last eight outcomes count.
    private static final double SMOOTHING_FACTOR = 0.125;
    // Failure rate above which a server is set aside; sound services fail up to one request in seven.
    private static final double EJECTION_FAILURE_RATE = 0.4;
    private static final long INITIAL_EJECTION_MILLIS = 1_000L;
    private static final long MAX_EJECTION_MILLIS = 8_000L;

    private double failureRate;
    private long ejectedUntilMillis;
    private long ejectionMillis = INITIAL_EJECTION_MILLIS;
    private boolean ejected;
    private boolean probeInProgress;

    /** Records a request that the server answered as it should. */
    public void recordSuccess() {
        failureRate *= 1 - SMOOTHING_FACTOR;
        probeInProgress = false;
        if (ejected) {
            ejected = false;
            ejectionMillis = INITIAL_EJECTION_MILLIS;
            failureRate = EJECTION_FAILURE_RATE / 2;
        }
    }

    /** Records a request that failed on the server. */
    public void recordFailure(long nowMillis) {
        failureRate = failureRate * (1 - SMOOTHING_FACTOR) + SMOOTHING_FACTOR;
        probeInProgress = false;
        if (failureRate > EJECTION_FAILURE_RATE) {
            ejectionMillis = ejected ? Math.min(MAX_EJECTION_MILLIS, ejectionMillis * 2) : ejectionMillis;
            ejected = true;
            ejectedUntilMillis = nowMillis + ejectionMillis;
        }
    }

    /** Records that the server could not be reached: it is set aside at once. */
    public void recordUnreachable(long nowMillis) {
        failureRate = 1;
        recordFailure(nowMillis);
    }

    /** Records that a request ended without saying anything about the server. */
    public void recordInconclusive() {
        probeInProgress = false;
    }

    /** Returns true if the server takes new requests. */
    public boolean isAvailable(long nowMillis) {
        return !ejected || (!probeInProgress && nowMillis >= ejectedUntilMillis);
    }

    /** A request is being sent. */
    public void onDispatch() {
        probeInProgress |= ejected;
    }

    /** Returns the smoothed share of requests that failed, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }
}
