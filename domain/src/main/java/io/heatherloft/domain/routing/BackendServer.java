package io.heatherloft.domain.routing;

/**
 * A backend server as the host list shows it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param address IP number and port; identifies it
 * @param leaving true if the host list marks it as leaving
 */
public record BackendServer(String address, String pool, String availabilityZone, boolean leaving) {}
