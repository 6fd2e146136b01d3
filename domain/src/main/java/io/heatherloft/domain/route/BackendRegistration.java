package io.heatherloft.domain.route;

/**
 * What a backend server last said of itself.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id identity of one start of the server, or of several where it keeps its id
 * @param startedAtMillis wall-clock time of its start; 0 if unknown
 * @param address IP number and port
 * @param version version of its software
 * @param slots requests that it runs at once
 */
public record BackendRegistration(
        String id,
        long startedAtMillis,
        String service,
        String address,
        String availabilityZone,
        String version,
        int slots,
        boolean draining) {}
