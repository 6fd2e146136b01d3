package io.heatherloft.domain.route;

/**
 * A service that answers requests of a route.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param weight share of the route's requests, relative to the route's other destinations
 */
public record Destination(String service, int weight) {}
