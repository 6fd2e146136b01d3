package io.heatherloft.ports.hosts;

import io.heatherloft.domain.routing.BackendServer;
import java.util.List;

/**
 * What the platform's host list shows. Immutable and safe for use by several threads.
 */
public record HostListing(List<BackendServer> backendServers, List<EntryHost> entryHosts) {
    /** A listing without hosts. */
    public static final HostListing EMPTY = new HostListing(List.of(), List.of());

    /**
     * A host that runs the daemon.
     *
     * @param peerAddress IP number and port of its listener for peers
     */
    public record EntryHost(String id, String peerAddress, String availabilityZone) {}
}
