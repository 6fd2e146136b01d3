package io.heatherloft.domain.route;

/**
 * Registration of a backend server, as last published by the server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of the server process; a server may keep it across restarts
 * @param startedAtMillis wall-clock start time of the process; 0 if unknown
 * @param address IP address and port
 * @param version version of the software that the server runs
 * @param slots maximum number of requests that the server runs concurrently
 * @param draining true if the server finishes its requests and takes no new ones
 * @param sequence rises with each registration of the process; 0 if unknown
 * @param coldMillis time from the registration for which the server is cold; 0 if it is not
 */
public record BackendRegistration(
        String id,
        long startedAtMillis,
        String service,
        String address,
        String availabilityZone,
        String version,
        int slots,
        boolean draining,
        long sequence,
        long coldMillis) {
    /** Returns the registration of the same server while it takes no new requests. */
    public BackendRegistration asDraining() {
        return new BackendRegistration(
                id, startedAtMillis, service, address, availabilityZone, version, slots, true, sequence, coldMillis);
    }
}
