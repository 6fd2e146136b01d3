package io.heatherloft.domain.route;

/**
 * A service to which a route sends requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param weight share of the route's requests relative to the weights of its other destinations; 0 for none
 */
public record Destination(String service, int weight) {}
