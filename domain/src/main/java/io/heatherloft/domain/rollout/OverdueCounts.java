package io.heatherloft.domain.rollout;

/**
 * Counts of a version's responses, complete or in progress, that are late: overdue responses take several times longer
 * than expected, stalled ones have stopped for so long that the request would be retried elsewhere.
 *
 * <p>Responses in progress count as soon as they are late, since slow responses end last. Those that are not late count
 * as punctual once they are old enough to be late. Both shares are compared by themselves: responses are
 * often overdue on loaded servers, but rarely stalled. Immutable and thread-safe.
 *
 * @param responses number of responses, including those in progress
 * @param overdue number of them that are overdue
 * @param stalled number of them that are stalled
 */
public record OverdueCounts(long responses, long overdue, long stalled) {
    /** No responses. */
    public static final OverdueCounts NONE = new OverdueCounts(0, 0, 0);

    private static final long MIN_LATE = 6;
    // Shares of late responses that are tolerated in addition to those of the previous version.
    private static final double TOLERATED_OVERDUE_EXCESS = 0.1;
    private static final double TOLERATED_STALLED_EXCESS = 0.05;
    // Number of standard deviations by which the late responses must exceed the expected number for a verdict.
    private static final double MIN_DEVIATIONS = 3.0;

    /** Returns the counts with one more response. */
    public OverdueCounts plusResponse(boolean isOverdue, boolean isStalled) {
        return new OverdueCounts(responses + 1, overdue + (isOverdue ? 1 : 0), stalled + (isStalled ? 1 : 0));
    }

    /** Returns the sum of both. */
    public OverdueCounts plus(OverdueCounts other) {
        return new OverdueCounts(responses + other.responses, overdue + other.overdue, stalled + other.stalled);
    }

    /** Returns true if responses are late more often than those of the previous version by a significant margin. */
    public boolean isLateMoreOftenThan(OverdueCounts before) {
        return exceeds(overdue, before.overdue, before.responses, TOLERATED_OVERDUE_EXCESS)
                || exceeds(stalled, before.stalled, before.responses, TOLERATED_STALLED_EXCESS);
    }

    private boolean exceeds(long late, long lateBefore, long responsesBefore, double toleratedExcess) {
        double baselineRate = responsesBefore == 0 ? 0 : (double) lateBefore / responsesBefore;
        double toleratedRate = Math.min(1, baselineRate + toleratedExcess);
        double expected = responses * toleratedRate;
        double deviation = Math.sqrt(expected * (1 - toleratedRate));
        return late >= MIN_LATE && late > expected + MIN_DEVIATIONS * deviation;
    }
}
