package io.heatherloft.entry;

/**
 * When the phases of a host's stop begin, each in milliseconds since the beginning of the stop.
 *
 * <p>Immutable and thread-safe.
 *
 * @param lastResponseMillis from when the response on each connection is its last one
 * @param acceptEndMillis from when no connection is accepted, and no request is sent that could outlast the host
 * @param requestEndMillis from when requests that are still open are ended
 * @param outputEndMillis until when callers may read the responses
 */
record StopPhases(long lastResponseMillis, long acceptEndMillis, long requestEndMillis, long outputEndMillis) {
    // The load balancer checks readiness every second and removes a host after two failed checks.
    private static final long BALANCER_NOTICE_MILLIS = 2_500L;
    // Time for callers of streams to resume them at another host, and for the output of final responses.
    private static final long REQUEST_END_MARGIN_MILLIS = 700L;
    // Time for the end of the process.
    private static final long OUTPUT_END_MARGIN_MILLIS = 250L;

    /** Returns the phases for a grace period, after which the process is killed. */
    static StopPhases of(long gracePeriodMillis) {
        long requestEndMillis = Math.max(0, gracePeriodMillis - REQUEST_END_MARGIN_MILLIS);
        long acceptEndMillis = Math.min(BALANCER_NOTICE_MILLIS, requestEndMillis);
        return new StopPhases(
                acceptEndMillis / 2,
                acceptEndMillis,
                requestEndMillis,
                Math.max(requestEndMillis, gracePeriodMillis - OUTPUT_END_MARGIN_MILLIS));
    }
}
