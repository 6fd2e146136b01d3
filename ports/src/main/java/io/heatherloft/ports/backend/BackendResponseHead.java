package io.heatherloft.ports.backend;

import java.util.OptionalDouble;

/**
 * The start of a backend server's answer. Immutable and safe for use by several threads.
 *
 * @param leaving true if the backend server said that it takes no new work and did not run the request
 * @param queueLength requests that wait on the backend server, if it reported its load
 */
public record BackendResponseHead(int status, String contentType, boolean leaving, OptionalDouble queueLength) {}
