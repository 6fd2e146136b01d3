package io.heatherloft.domain.rollout;

import java.util.Random;

/**
 * Samples the answers that are rated for monitoring: all of a new version's and a fraction of the others', within a
 * rate limit.
 *
 * <p>Invariant: over any period, the number of samples is at most the burst plus the rate times the length of the
 * period. Confined to one thread.
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

    /** Creates a sampler with a token bucket of size {@code burst} that is refilled at {@code ratePerSecond}. */
    public RatingSampler(Random random, double ratePerSecond, double burst) {
        this.random = random;
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = burst;
    }

    /** Returns true if an answer of a version with this role should be rated. */
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

    /** Role of a version in the rollout of its model. */
    public enum Role {
        /** The version is being rolled out. */
        NEW_VERSION,
        /** The version is being replaced. */
        REFERENCE,
        /** The version takes no part in a rollout. */
        STABLE
    }
}
