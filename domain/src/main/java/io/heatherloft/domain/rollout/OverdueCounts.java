package io.heatherloft.domain.rollout;

/**
 * Counts of a version's responses, complete or in progress, that take several times longer than expected.
 *
 * <p>Responses in progress count as soon as their next event is late, since slow responses end last. Those that are not
 * late yet count as not overdue, so that the share of overdue responses is never overestimated. Immutable and
 * thread-safe.
 *
 * @param responses number of responses, including those in progress
 * @param overdue number of them that are overdue
 */
public record OverdueCounts(long responses, long overdue) {
    /** No responses. */
    public static final OverdueCounts NONE = new OverdueCounts(0, 0);

    private static final long MIN_OVERDUE = 6;
    // Share of overdue responses that is tolerated in addition to that of the previous version.
    private static final double TOLERATED_EXCESS = 0.1;
    // Number of standard deviations by which the overdue responses must exceed the expected number for a verdict.
    private static final double MIN_DEVIATIONS = 3.0;

    /** Returns the counts with one more response. */
    public OverdueCounts plusResponse(boolean isOverdue) {
        return new OverdueCounts(responses + 1, overdue + (isOverdue ? 1 : 0));
    }

    /** Returns the sum of both. */
    public OverdueCounts plus(OverdueCounts other) {
        return new OverdueCounts(responses + other.responses, overdue + other.overdue);
    }

    /** Returns true if responses are overdue more often than those of the previous version by a significant margin. */
    public boolean isMoreOftenOverdueThan(OverdueCounts before) {
        double baselineRate = before.responses == 0 ? 0 : (double) before.overdue / before.responses;
        double toleratedRate = Math.min(1, baselineRate + TOLERATED_EXCESS);
        double expected = responses * toleratedRate;
        double deviation = Math.sqrt(expected * (1 - toleratedRate));
        return overdue >= MIN_OVERDUE && overdue > expected + MIN_DEVIATIONS * deviation;
    }
}
