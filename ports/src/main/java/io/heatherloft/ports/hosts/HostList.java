package io.heatherloft.ports.hosts;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of hosts, which lags behind the truth. Confined to the loop's thread.
 */
@FunctionalInterface
public interface HostList {
    /** Reads the list; fails if the service does not answer. */
    CompletableFuture<HostListing> read();
}
