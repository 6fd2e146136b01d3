package io.heatherloft.ports.hosts;

import io.heatherloft.domain.routing.BackendServer;
import java.util.List;

/**
 * Contents of the platform's host list. Immutable and thread-safe.
 */
public record HostListing(List<BackendServer> backendServers, List<EntryHost> entryHosts) {
    public static final HostListing EMPTY = new HostListing(List.of(), List.of());

    /**
     * A host that runs the daemon.
     *
     * @param peerAddress IP address and port on which the host accepts connections from its peers
     */
    public record EntryHost(String id, String peerAddress, String availabilityZone) {}
}
