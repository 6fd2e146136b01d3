package io.heatherloft.domain.rollout;

/**
 * Detects that a version's ratings have fallen below those of its predecessor, with a one-sided CUSUM test (Page,
 * "Continuous inspection schemes", Biometrika 1954).
 *
 * <p>Each rating adds its shortfall from the reference mean, less an allowance, to a sum that is kept non-negative; the
 * alarm is raised when the sum exceeds a limit. For allowance k, limit h and standard deviation s of the ratings, the
 * mean number of ratings between false alarms grows as exp(2 k h / s^2), and a drop by d is detected after about
 * h / (d - k) ratings. Invariant: the alarm is never reset. Confined to one thread.
 */
public final class QualityRegressionDetector {
    /** Tolerated shortfall of a rating from the reference mean. */
    public static final double ALLOWANCE = 0.08;

    /** Sum of shortfalls above which the alarm is raised. */
    public static final double LIMIT = 2.5;

    private static final int MIN_REFERENCE_RATINGS = 40;
    private static final double MIN_REFERENCE_WEIGHT = 0.005;

    private double referenceMean;
    private int referenceRatings;
    private double shortfallSum;
    private boolean alarmRaised;

    /** Records a rating of the predecessor, from 0 to 1. */
    public void addReference(double score) {
        referenceRatings++;
        double weight = Math.max(MIN_REFERENCE_WEIGHT, 1.0 / referenceRatings);
        referenceMean += weight * (score - referenceMean);
    }

    /** Records a rating of the observed version, from 0 to 1; returns true if the alarm is raised. */
    public boolean add(double score) {
        if (referenceRatings >= MIN_REFERENCE_RATINGS) {
            shortfallSum = Math.max(0, shortfallSum + referenceMean - score - ALLOWANCE);
            alarmRaised |= shortfallSum > LIMIT;
        }
        return alarmRaised;
    }

    /** Returns true if there are too few ratings of the predecessor for a test. */
    public boolean lacksReference() {
        return referenceRatings < MIN_REFERENCE_RATINGS;
    }
}
