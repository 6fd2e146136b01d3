package io.heatherloft.router.backend;

/**
 * A backend server to connect to.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id identity; connections to one address under two identities are kept apart
 * @param address IP number and port
 */
public record BackendEndpoint(String id, String address) {
    // Written out: what the compiler would generate is linked at the first use, which delays a starting process.
    @Override
    public boolean equals(Object other) {
        return other instanceof BackendEndpoint target && id.equals(target.id) && address.equals(target.address);
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + address.hashCode();
    }
}
