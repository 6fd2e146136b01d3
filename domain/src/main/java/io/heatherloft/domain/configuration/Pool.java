package io.heatherloft.domain.configuration;

/**
 * A group of interchangeable backend servers; its members come from the host list.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxInFlightPerServer requests that one entry host keeps in progress on one backend server
 * @param checksFencing true if its backend servers refuse orders with an old fencing number
 */
public record Pool(String name, int maxInFlightPerServer, boolean checksFencing) {}
