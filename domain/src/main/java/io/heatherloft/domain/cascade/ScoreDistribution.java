package io.heatherloft.domain.cascade;

/**
 * Ratings of one step's answers as a histogram that forgets slowly.
 *
 * <p>Invariant: the total weight stays at most {@link #MAX_WEIGHT}, so that about the newest that many ratings count.
 * Confined to one thread.
 */
final class ScoreDistribution {
    static final double MAX_WEIGHT = 1_000.0;

    private static final int BINS = 50;

    private final double[] weights = new double[BINS + 1];
    private double total;

    void add(double score) {
        if (total >= MAX_WEIGHT) {
            double keep = (MAX_WEIGHT - 1) / total;
            for (int bin = 0; bin < weights.length; bin++) {
                weights[bin] *= keep;
            }
            total *= keep;
        }
        weights[binOf(score)] += 1;
        total += 1;
    }

    double weight() {
        return total;
    }

    /** Returns the fraction of ratings of at least {@code threshold}. */
    double fractionAtLeast(double threshold) {
        return total == 0 ? 0 : sum(threshold, 0) / total;
    }

    /** Returns the mean of the ratings of at least {@code threshold}; 0 if there is none. */
    double meanAtLeast(double threshold) {
        double weight = sum(threshold, 0);
        return weight == 0 ? 0 : sum(threshold, 1) / weight;
    }

    double mean() {
        return meanAtLeast(0);
    }

    /** Returns the variance of the mean, widened while there are few ratings. */
    double varianceOfMean() {
        if (total < 2) {
            return 1;
        }
        double mean = mean();
        double variance = Math.max(0, sum(0, 2) / total - mean * mean);
        return (variance + 1 / total) / total;
    }

    private double sum(double threshold, int power) {
        double sum = 0;
        for (int bin = binOf(threshold); bin < weights.length; bin++) {
            sum += weights[bin] * Math.pow(valueOf(bin), power);
        }
        return sum;
    }

    private static int binOf(double score) {
        return (int) Math.round(Math.max(0, Math.min(1, score)) * BINS);
    }

    private static double valueOf(int bin) {
        return (double) bin / BINS;
    }
}
