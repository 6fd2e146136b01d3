package io.heatherloft.domain.rollout;

/**
 * Statistics of a version's answer times: sums over the logarithms of the ratios of answer times to their baselines.
 *
 * <p>Sums of several hosts can be added. Immutable and thread-safe.
 */
public record SpeedSums(long answers, double sum, double sumOfSquares) {
    /** No answers. */
    public static final SpeedSums NONE = new SpeedSums(0, 0, 0);

    private static final long MIN_ANSWERS = 12;
    // Minimum difference of the mean logarithms, a factor of 1.7; a part of the answers is then several times slower.
    private static final double MIN_LOG_DIFFERENCE = Math.log(1.7);
    // Number of standard errors by which the means must differ before a version is judged slower.
    private static final double MIN_STANDARD_ERRORS = 3.3;

    /** Returns the sums with one more answer, given the ratio of its time to the baseline. */
    public SpeedSums plusAnswer(double ratioToBaseline) {
        double logarithm = Math.log(Math.max(ratioToBaseline, Double.MIN_NORMAL));
        return new SpeedSums(answers + 1, sum + logarithm, sumOfSquares + logarithm * logarithm);
    }

    /** Returns the sums over the answers of both. */
    public SpeedSums plus(SpeedSums other) {
        return new SpeedSums(answers + other.answers, sum + other.sum, sumOfSquares + other.sumOfSquares);
    }

    /** Returns true if answers are slower than those of the previous version by a statistically significant margin. */
    public boolean isSlowerThan(SpeedSums before) {
        if (answers < MIN_ANSWERS || before.answers < MIN_ANSWERS) {
            return false;
        }
        double difference = mean() - before.mean();
        double error = Math.sqrt(variance() / answers + before.variance() / before.answers);
        return difference > MIN_LOG_DIFFERENCE && difference > MIN_STANDARD_ERRORS * error;
    }

    private double mean() {
        return sum / answers;
    }

    private double variance() {
        return Math.max(0, sumOfSquares / answers - mean() * mean());
    }
}
