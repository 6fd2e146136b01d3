package io.heatherloft.router.backend;

/**
 * A backend server to connect to.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id identity; connections to one address under two identities are kept apart
 * @param address IP number and port
 */
public record BackendTarget(String id, String address) {}
