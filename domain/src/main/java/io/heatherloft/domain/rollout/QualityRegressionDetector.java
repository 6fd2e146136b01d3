package io.heatherloft.domain.rollout;

/**
 * Notices that a version's answers have become worse than a reference, by a cumulative sum of the shortfalls (Page,
 * "Continuous inspection schemes", Biometrika 1954).
 *
 * <p>Each rating adds its shortfall against the reference less an allowance; the sum never falls below zero, and the
 * alarm is raised when it passes a limit. With allowance k, limit h and deviation s of ratings the mean number of
 * ratings between false alarms grows as exp(2 k h / s^2), and a fall by d is noticed after about h / (d - k) ratings.
 * Invariant: once raised, the alarm stays. Confined to one thread.
 */
public final class QualityRegressionDetector {
    /** Shortfall that is tolerated, as a difference of ratings. */
    public static final double ALLOWANCE = 0.08;

    /** Sum of shortfalls at which the alarm is raised. */
    public static final double LIMIT = 2.5;

    private static final int MIN_REFERENCE_RATINGS = 40;
    private static final double MIN_REFERENCE_WEIGHT = 0.005;

    private double referenceMean;
    private int referenceRatings;
    private double shortfallSum;
    private boolean alarmRaised;

    /** Adds a rating of the predecessor, from 0 to 1. */
    public void addReference(double score) {
        referenceRatings++;
        double weight = Math.max(MIN_REFERENCE_WEIGHT, 1.0 / referenceRatings);
        referenceMean += weight * (score - referenceMean);
    }

    /** Adds a rating of the watched version; returns true if the alarm is raised. */
    public boolean add(double score) {
        if (referenceRatings >= MIN_REFERENCE_RATINGS) {
            shortfallSum = Math.max(0, shortfallSum + referenceMean - score - ALLOWANCE);
            alarmRaised |= shortfallSum > LIMIT;
        }
        return alarmRaised;
    }

    /** Returns true if ratings of the predecessor are still too few to judge by. */
    public boolean lacksReference() {
        return referenceRatings < MIN_REFERENCE_RATINGS;
    }
}
