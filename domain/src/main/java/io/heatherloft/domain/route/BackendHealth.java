package io.heatherloft.domain.route;

/**
 * Outlier detection for a backend server: ejects it while too many of its requests fail.
 *
 * <p>Invariant: after its ejection time, an ejected server receives one probe request at a time, and it is reinstated
 * only when a probe succeeds. Confined to one thread.
 */
public final class BackendHealth {
    // Weight of the newest outcome in the moving average, which spans about eight outcomes.
    private static final double SMOOTHING_FACTOR = 0.125;
    // Failure rate above which a server is ejected; healthy services fail up to one request in seven.
    private static final double EJECTION_FAILURE_RATE = 0.4;
    private static final long INITIAL_EJECTION_MILLIS = 1_000L;
    private static final long MAX_EJECTION_MILLIS = 8_000L;

    private double failureRate;
    private long ejectedUntilMillis;
    private long ejectionMillis = INITIAL_EJECTION_MILLIS;
    private boolean ejected;
    private boolean probeInProgress;

    /** Records a successful request; ends an ejection. */
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

    /** Records that the server could not be reached, which ejects it at once. */
    public void recordUnreachable(long nowMillis) {
        failureRate = 1;
        recordFailure(nowMillis);
    }

    /** Forgets the failures, which were not the server's. */
    public void forgetFailures() {
        failureRate = 0;
        ejected = false;
        ejectionMillis = INITIAL_EJECTION_MILLIS;
        probeInProgress = false;
    }

    /** Records that a request ended without evidence about the health of the server. */
    public void recordInconclusive() {
        probeInProgress = false;
    }

    /** Returns true if the server may receive a request: it is not ejected, or a probe is due. */
    public boolean isAvailable(long nowMillis) {
        return !ejected || (!probeInProgress && nowMillis >= ejectedUntilMillis);
    }

    /** Records that a request is about to be sent; it is the probe if the server is ejected. */
    public void onDispatch() {
        probeInProgress |= ejected;
    }

    /** Returns the moving average of the failure rate, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }
}
