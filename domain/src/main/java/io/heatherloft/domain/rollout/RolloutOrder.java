package io.heatherloft.domain.rollout;

/**
 * An operator's order to move a service's requests to another version.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target version that should finally run all requests
 * @param durationMillis time within which the rollout must be complete, counted from the order
 */
public record RolloutOrder(String service, String target, long durationMillis) {}
