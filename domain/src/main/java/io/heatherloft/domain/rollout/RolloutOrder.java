package io.heatherloft.domain.rollout;

/**
 * An operator's order to move a service's requests to another version.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target version that is to run all requests
 * @param durationMillis time from the order within which the move is to be complete
 */
public record RolloutOrder(String service, String target, long durationMillis) {}
