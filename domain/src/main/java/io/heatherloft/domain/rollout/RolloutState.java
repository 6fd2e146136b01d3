package io.heatherloft.domain.rollout;

/**
 * State of a rollout as shown to operators.
 *
 * <p>Immutable and thread-safe.
 */
public record RolloutState(String service, String target, Phase phase) {

    /** Phases of a rollout. */
    public enum Phase {
        /** Requests are being moved to the target. */
        RUNNING,
        /** The target runs all requests, and the previous version is stopped. */
        COMPLETED,
        /** The target was found to be worse, and the previous version runs all requests. */
        REVERTED;

        /** Returns true if the phase is terminal. */
        public boolean isFinal() {
            return this != RUNNING;
        }
    }
}
