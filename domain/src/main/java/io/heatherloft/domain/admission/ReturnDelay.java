package io.heatherloft.domain.admission;

import io.heatherloft.domain.StableHash;
import java.util.OptionalDouble;

/**
 * The time after which the caller of a refused request is asked to come back.
 *
 * <p>Invariant: the delay is at least 0.1 s and, apart from that, at most a third of the time that the caller has left.
 * Stateless and thread-safe.
 */
final class ReturnDelay {
    private static final long MIN_MILLIS = 100L;
    // A third of the caller's time, less a tenth of that for the way of the response and the rounding of the header.
    private static final double MAX_SHARE_OF_TIME_LEFT = 0.3;

    private ReturnDelay() {}

    /**
     * Returns the delay in milliseconds: the wait, and a part of as much again that depends on the hash. Where a third of the
     * caller's time is shorter than that, delays are spread over its second half.
     *
     * @param waitMillis time until the queue ahead will have been served; empty if it is unknown
     */
    static long millis(OptionalDouble waitMillis, long timeLeftMillis, long hash) {
        double max = Math.max(MIN_MILLIS, MAX_SHARE_OF_TIME_LEFT * timeLeftMillis);
        double wait = Math.max(MIN_MILLIS, Math.min(waitMillis.orElse(Double.MAX_VALUE), max / 2));
        return Math.round(Math.min(max, wait * (1 + StableHash.toUnitInterval(StableHash.mix(hash, MIN_MILLIS)))));
    }
}
