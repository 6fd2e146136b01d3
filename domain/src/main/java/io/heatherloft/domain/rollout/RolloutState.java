package io.heatherloft.domain.rollout;

/**
 * How far a roll-out has come, as operators see it.
 *
 * <p>Immutable and thread-safe.
 */
public record RolloutState(String service, String target, Phase phase) {

    /** Phases of a roll-out. */
    public enum Phase {
        /** Requests are moved to the target. */
        RUNNING,
        /** The target runs all requests; the version before is stopped. */
        COMPLETED,
        /** The target was bad; the version before runs all requests. */
        REVERTED;

        /** Returns true if nothing changes any more. */
        public boolean isFinal() {
            return this != RUNNING;
        }
    }
}
