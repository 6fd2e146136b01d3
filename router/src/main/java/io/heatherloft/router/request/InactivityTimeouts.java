package io.heatherloft.router.request;

import io.heatherloft.domain.route.Route;
import java.util.OptionalLong;

/**
 * The time without news after which an attempt goes on elsewhere.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class InactivityTimeouts {
    // Time without news from a server on any connection, as a fraction of the objective or of the longest pause, after
    // which its requests go on elsewhere: enough is left for an answer on time.
    private static final double INACTIVE_SERVER_FACTOR = 0.6;
    // Time without news of one request, as a multiple of the same, while its server answers others.
    private static final double INACTIVE_REQUEST_FACTOR = 2.0;

    private InactivityTimeouts() {}

    /**
     * Returns the limit in milliseconds; empty if the request never goes on elsewhere.
     *
     * @param streaming true if events have arrived
     * @param serverSilent true if nothing at all has arrived from the server since the last news of the attempt
     */
    static OptionalLong timeoutMillis(Route route, boolean streaming, boolean serverSilent) {
        if (!route.repeatPolicy().mayRepeat() || route.objectiveMillis() <= 0) {
            return OptionalLong.empty();
        }
        long usualMillis = streaming && route.eventGapObjectiveMillis() > 0
                ? route.eventGapObjectiveMillis()
                : route.objectiveMillis();
        return OptionalLong.of(
                Math.round(usualMillis * (serverSilent ? INACTIVE_SERVER_FACTOR : INACTIVE_REQUEST_FACTOR)));
    }
}
