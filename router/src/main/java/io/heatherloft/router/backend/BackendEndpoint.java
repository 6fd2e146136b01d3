package io.heatherloft.router.backend;

/**
 * Identity and address of a backend server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identity of the server; connections to one address under different identities are not shared
 * @param address IP address and port
 */
public record BackendEndpoint(String id, String address) {
    // The generated methods of a record are linked through invokedynamic on first use, which slows down startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof BackendEndpoint endpoint && id.equals(endpoint.id) && address.equals(endpoint.address);
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + address.hashCode();
    }
}
