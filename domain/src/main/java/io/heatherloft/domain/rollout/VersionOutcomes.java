package io.heatherloft.domain.rollout;

/**
 * Answers of a version, counted and timed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param answers answers of the version
 * @param failed answers that failed
 */
public record VersionOutcomes(long answers, long failed, SpeedSums speeds) {
    /** No answers. */
    public static final VersionOutcomes NONE = new VersionOutcomes(0, 0, SpeedSums.NONE);

    // Fewest bad answers on which a version is judged; one that is sound has a few by chance.
    private static final long MIN_FAILED = 5;
    // Share of bad answers that a sound version may have beyond that of the version before.
    private static final double TOLERATED_EXCESS = 0.04;
    // Standard deviations by which the bad answers exceed what is expected before the version is judged bad.
    private static final double MIN_DEVIATIONS = 3.0;

    /** Returns the sum. */
    public VersionOutcomes plus(VersionOutcomes other) {
        return new VersionOutcomes(answers + other.answers, failed + other.failed, speeds.plus(other.speeds));
    }

    /** Returns the counts with one more answer. */
    public VersionOutcomes plusAnswer(boolean isBad) {
        return new VersionOutcomes(answers + 1, failed + (isBad ? 1 : 0), speeds);
    }

    /** Returns the counts with the time of an answer, as a multiple of the usual one. */
    public VersionOutcomes plusSpeed(double timeOverUsual) {
        return new VersionOutcomes(answers, failed, speeds.plusAnswer(timeOverUsual));
    }

    /** Returns true if the answers are worse than those of the version before by more than chance explains. */
    public boolean isWorseThan(VersionOutcomes before) {
        return failsMoreThan(before) || speeds.isSlowerThan(before.speeds);
    }

    private boolean failsMoreThan(VersionOutcomes before) {
        double usualRate = before.answers == 0 ? 0 : (double) before.failed / before.answers;
        double expected = answers * Math.min(1, usualRate + TOLERATED_EXCESS);
        return failed >= MIN_FAILED && failed > expected + MIN_DEVIATIONS * Math.sqrt(expected);
    }
}
