package io.heatherloft.daemon.backend;

import io.heatherloft.domain.configuration.Workspace;
import java.util.Set;

/**
 * A request for a slot on a backend server of a pool. Immutable and thread-safe.
 *
 * @param priority requests with a higher value are served first within the workspace
 * @param prefixHash hash of the start of the prompt; requests that share it are routed to few backend servers
 * @param excludedAddresses addresses of backend servers that must not be used
 * @param exclusive true if no other request of this host may run on the backend server at the same time
 * @param deadlineMillis wall-clock time after which the slot is no longer needed, in milliseconds
 */
public record SlotRequest(
        Workspace workspace,
        String pool,
        int priority,
        long prefixHash,
        Set<String> excludedAddresses,
        boolean exclusive,
        long deadlineMillis) {}
