package io.heatherloft.domain.cascade;

/**
 * Decides from a small model's confidence whether a larger model answers instead.
 *
 * <p>The slower the engines begin to answer, the lower the confidence that is still sufficient: a larger model takes
 * several times the engine time, which delays every request behind it. Invariant: the threshold lies between
 * {@link #LEAST} and {@link #USUAL}. Confined to one thread.
 */
public final class EscalationThreshold {
    /** Confidence, from 0 to 100, at which an answer is as likely right as wrong. */
    public static final double USUAL = 50;

    /** Confidence below which an answer is hardly ever right. */
    public static final double LEAST = 20;

    // Time to the first event, as a fraction of its objective, from which the threshold falls and at which it is least.
    private static final double BUSY = 0.35;
    private static final double OVERLOADED = 0.8;
    private static final double NEWEST_WEIGHT = 0.08;
    // Time in which a measurement loses half of its weight when no newer one arrives.
    private static final double HALF_LIFE_MILLIS = 1_500;

    private double delay;
    private long measuredAtMillis;

    /** Records the time to an answer's first event. */
    public void record(long firstEventMillis, long objectiveMillis, long nowMillis) {
        double fraction = Math.min(2, (double) firstEventMillis / Math.max(1, objectiveMillis));
        delay = delayAt(nowMillis) * (1 - NEWEST_WEIGHT) + fraction * NEWEST_WEIGHT;
        measuredAtMillis = nowMillis;
    }

    /** Returns the confidence that is sufficient now. */
    public double at(long nowMillis) {
        double load = (delayAt(nowMillis) - BUSY) / (OVERLOADED - BUSY);
        return USUAL - Math.max(0, Math.min(1, load)) * (USUAL - LEAST);
    }

    private double delayAt(long nowMillis) {
        return delay * Math.pow(0.5, Math.max(0, nowMillis - measuredAtMillis) / HALF_LIFE_MILLIS);
    }
}
