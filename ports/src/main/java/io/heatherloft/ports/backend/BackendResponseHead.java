package io.heatherloft.ports.backend;

import java.util.OptionalDouble;

/**
 * Status and headers of a backend server's response. Immutable and thread-safe.
 *
 * @param leaving true if the backend server is leaving: it accepts no new requests and did not execute this one
 * @param queueLength number of requests that are queued on the backend server; empty if it did not report its load
 */
public record BackendResponseHead(int status, String contentType, boolean leaving, OptionalDouble queueLength) {}
