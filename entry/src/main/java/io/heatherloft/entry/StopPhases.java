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
    private static final long MAX_REQUEST_END_MARGIN_MILLIS = 700L;
    // Streams that have begun are cut late in the grace period only.
    private static final long GRACE_PER_REQUEST_END_MARGIN = 6L;
    // Part of the margin that is left for the end of the process.
    private static final double PROCESS_END_SHARE = 0.36;

    /** Returns the phases for a grace period, after which the process is killed. */
    static StopPhases of(long gracePeriodMillis) {
        long marginMillis = Math.min(MAX_REQUEST_END_MARGIN_MILLIS, gracePeriodMillis / GRACE_PER_REQUEST_END_MARGIN);
        long requestEndMillis = gracePeriodMillis - marginMillis;
        long acceptEndMillis = Math.min(BALANCER_NOTICE_MILLIS, requestEndMillis);
        return new StopPhases(
                acceptEndMillis / 2,
                acceptEndMillis,
                requestEndMillis,
                gracePeriodMillis - (long) (PROCESS_END_SHARE * marginMillis));
    }

    /** Returns the phases that remain of a stop that was requested some time ago. */
    StopPhases after(long elapsedMillis) {
        return new StopPhases(
                Math.max(0, lastResponseMillis - elapsedMillis),
                Math.max(0, acceptEndMillis - elapsedMillis),
                Math.max(0, requestEndMillis - elapsedMillis),
                Math.max(0, outputEndMillis - elapsedMillis));
    }
}
