package io.heatherloft.domain.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * The rate at which this host's requests of a service free slots, and the time for which they occupy them.
 *
 * <p>The rate is that of the last 2 s, or the one that follows from the requests in progress and their expected duration if
 * this is higher, since after a time without load few requests have ended yet. Invariant: both are unknown until a request
 * has ended. Confined to one thread.
 */
final class FreedSlots {
    private static final long WINDOW_MILLIS = 2_000L;
    private static final double SMOOTHING_FACTOR = 0.1;

    private final Deque<Long> freedMillis = new ArrayDeque<>();
    private double meanDurationMillis;
    private double durationPerWork;
    private boolean known;

    /**
     * Records that a request has ended and freed its slot.
     *
     * @param durationMillis time for which it occupied the slot
     */
    void record(double work, long durationMillis, long nowMillis) {
        double factor = (double) durationMillis / work;
        durationPerWork = known ? smooth(durationPerWork, factor) : factor;
        meanDurationMillis = known ? smooth(meanDurationMillis, (double) durationMillis) : (double) durationMillis;
        known = true;
        freedMillis.addLast(nowMillis);
        forgetOld(nowMillis);
    }

    /** Returns the slots that come free per millisecond; empty if this is unknown. */
    OptionalDouble perMilli(int inProgress, long nowMillis) {
        forgetOld(nowMillis);
        double rate =
                Math.max(freedMillis.size() / (double) WINDOW_MILLIS, inProgress / Math.max(1.0, meanDurationMillis));
        return known && rate > 0 ? OptionalDouble.of(rate) : OptionalDouble.empty();
    }

    /** Returns the expected time for which a request occupies a slot, in milliseconds; 0 if it is unknown. */
    double expectedMillis(double work) {
        return known ? durationPerWork * work : 0;
    }

    private void forgetOld(long nowMillis) {
        while (!freedMillis.isEmpty() && freedMillis.peekFirst() <= nowMillis - WINDOW_MILLIS) {
            freedMillis.removeFirst();
        }
    }

    private static double smooth(double average, double value) {
        return average + SMOOTHING_FACTOR * (value - average);
    }
}
