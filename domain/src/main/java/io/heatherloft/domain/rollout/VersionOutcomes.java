package io.heatherloft.domain.rollout;

/**
 * Counts and answer times of a version's requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param answers number of answers
 * @param failed number of answers that failed
 * @param speeds times of the answers
 * @param overdue counts of late answers, including answers in progress
 */
public record VersionOutcomes(long answers, long failed, SpeedSums speeds, OverdueCounts overdue) {
    /** No answers. */
    public static final VersionOutcomes NONE = new VersionOutcomes(0, 0, SpeedSums.NONE, OverdueCounts.NONE);

    // Minimum number of failed answers for a verdict, since a healthy version has a few by chance.
    private static final long MIN_FAILED = 5;
    // Failure rate that is tolerated in addition to that of the previous version.
    private static final double TOLERATED_EXCESS = 0.04;
    // Number of standard deviations by which the failures must exceed the expected number for a verdict.
    private static final double MIN_DEVIATIONS = 3.0;

    /** Returns the sum of both. */
    public VersionOutcomes plus(VersionOutcomes other) {
        return new VersionOutcomes(
                answers + other.answers, failed + other.failed, speeds.plus(other.speeds), overdue.plus(other.overdue));
    }

    /** Returns the outcomes with one more answer. */
    public VersionOutcomes plusAnswer(boolean isFailure) {
        return new VersionOutcomes(answers + 1, failed + (isFailure ? 1 : 0), speeds, overdue);
    }

    /** Returns the outcomes with one more answer time, given its ratio to the baseline. */
    public VersionOutcomes plusSpeed(double ratioToBaseline) {
        return new VersionOutcomes(answers, failed, speeds.plusAnswer(ratioToBaseline), overdue);
    }

    /** Returns the outcomes with further counts of late answers. */
    public VersionOutcomes plusOverdue(OverdueCounts counts) {
        return new VersionOutcomes(answers, failed, speeds, overdue.plus(counts));
    }

    /**
     * Returns true if the answers fail more often or are slower than those of the previous version by a significant
     * margin.
     */
    public boolean isWorseThan(VersionOutcomes before) {
        return failsMoreThan(before)
                || speeds.isSlowerThan(before.speeds)
                || overdue.isLateMoreOftenThan(before.overdue);
    }

    private boolean failsMoreThan(VersionOutcomes before) {
        double baselineRate = before.answers == 0 ? 0 : (double) before.failed / before.answers;
        double expected = answers * Math.min(1, baselineRate + TOLERATED_EXCESS);
        return failed >= MIN_FAILED && failed > expected + MIN_DEVIATIONS * Math.sqrt(expected);
    }
}
