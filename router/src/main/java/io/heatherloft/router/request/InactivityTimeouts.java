package io.heatherloft.router.request;

import io.heatherloft.domain.route.Route;
import java.util.OptionalLong;

/**
 * Computes how long an attempt may be inactive before a request that may run again is retried on another server.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class InactivityTimeouts {
    // Time-out if the server has sent nothing on any connection, as a factor of the response-time objective or of the
    // longest expected pause between events. It is below 1 so that the retry can still meet the objective.
    private static final double INACTIVE_SERVER_FACTOR = 0.6;
    // Time-out if only this request is inactive while the server responds to others, as a factor of the same value.
    private static final double INACTIVE_REQUEST_FACTOR = 2.0;

    private InactivityTimeouts() {}

    /**
     * Returns the time-out in milliseconds; empty if the route has no objective.
     *
     * @param streaming true if at least one event has arrived
     * @param serverInactive true if nothing has arrived from the server, on any connection, since the attempt last
     *     received data
     */
    static OptionalLong timeoutMillis(Route route, boolean streaming, boolean serverInactive) {
        if (route.objectiveMillis() <= 0) {
            return OptionalLong.empty();
        }
        long baseMillis = streaming && route.eventGapObjectiveMillis() > 0
                ? route.eventGapObjectiveMillis()
                : route.objectiveMillis();
        return OptionalLong.of(
                Math.round(baseMillis * (serverInactive ? INACTIVE_SERVER_FACTOR : INACTIVE_REQUEST_FACTOR)));
    }
}
