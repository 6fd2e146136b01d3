package io.heatherloft.domain.rollout;

/**
 * Speeds of a version's answers, as logarithms of their time over the usual time of their kind.
 *
 * <p>Sums add up over hosts. Immutable and safe for use by several threads.
 */
public record SpeedSums(long answers, double sum, double sumOfSquares) {
    /** No answers. */
    public static final SpeedSums NONE = new SpeedSums(0, 0, 0);

    private static final long MIN_ANSWERS = 12;
    // Answers that take this much longer on average are several times slower in part.
    private static final double MIN_LOG_DIFFERENCE = Math.log(1.7);
    // Standard errors by which the averages differ before a version is called slow.
    private static final double MIN_STANDARD_ERRORS = 3.3;

    /** Returns the sums with one more answer. */
    public SpeedSums plusAnswer(double timeOverUsual) {
        double logarithm = Math.log(Math.max(timeOverUsual, Double.MIN_NORMAL));
        return new SpeedSums(answers + 1, sum + logarithm, sumOfSquares + logarithm * logarithm);
    }

    /** Returns the sums of both. */
    public SpeedSums plus(SpeedSums other) {
        return new SpeedSums(answers + other.answers, sum + other.sum, sumOfSquares + other.sumOfSquares);
    }

    /** Returns true if answers take longer than those of the version before by more than chance explains. */
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
