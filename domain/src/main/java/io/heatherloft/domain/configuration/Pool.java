package io.heatherloft.domain.configuration;

/**
 * A group of interchangeable backend servers; the host list assigns servers to pools.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxInFlightPerServer maximum number of requests of one entry host that are in progress on one backend server
 * @param checksFencing true if the backend servers reject orders with an outdated fencing number
 */
public record Pool(String name, int maxInFlightPerServer, boolean checksFencing) {}
