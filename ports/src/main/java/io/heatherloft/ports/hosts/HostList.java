package io.heatherloft.ports.hosts;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of hosts, which is eventually consistent. Confined to the event loop thread.
 */
@FunctionalInterface
public interface HostList {
    /** Reads the list; fails if the service does not respond. */
    CompletableFuture<HostListing> read();
}
