package io.heatherloft.domain.rollout;

import java.util.Random;

/**
 * Decides which answers are rated to watch over versions: most of a new version's, few of the others'.
 *
 * <p>Invariant: over any period at most the burst and the rate's share of it are sampled. Confined to one thread.
 */
public final class RatingSampler {
    private static final double NEW_VERSION_SHARE = 1.0;
    private static final double REFERENCE_SHARE = 0.1;
    private static final double STABLE_SHARE = 0.02;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Random random;
    private final double ratePerSecond;
    private final double burst;
    private double tokens;
    private long lastMillis;

    /** Creates a sampler that takes at most {@code ratePerSecond} answers a second and {@code burst} at once. */
    public RatingSampler(Random random, double ratePerSecond, double burst) {
        this.random = random;
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = burst;
    }

    /** Returns true if an answer of a version in this role is to be rated. */
    public boolean sample(Role role, long nowMillis) {
        tokens = Math.min(burst, tokens + (nowMillis - lastMillis) * ratePerSecond / MILLIS_PER_SECOND);
        lastMillis = nowMillis;
        if (tokens < 1 || random.nextDouble() >= shareOf(role)) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private static double shareOf(Role role) {
        return switch (role) {
            case NEW_VERSION -> NEW_VERSION_SHARE;
            case REFERENCE -> REFERENCE_SHARE;
            case STABLE -> STABLE_SHARE;
        };
    }

    /** What part a version plays. */
    public enum Role {
        /** It is being rolled out. */
        NEW_VERSION,
        /** It is being replaced. */
        REFERENCE,
        /** Its model has no rollout. */
        STABLE
    }
}
