package io.heatherloft.domain.routing;

/**
 * A backend server as described by the host list.
 *
 * <p>Immutable and thread-safe.
 *
 * @param address IP address and port; identifies the server
 * @param leaving true if the host list marks the server as leaving
 */
public record BackendServer(String address, String pool, String availabilityZone, boolean leaving) {}
