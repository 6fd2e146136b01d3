package io.heatherloft.daemon.backend;

import io.heatherloft.domain.configuration.Workspace;
import java.util.Set;

/**
 * A wish for a place on a backend server of a pool. Immutable and safe for use by several threads.
 *
 * @param priority higher is served first within the workspace
 * @param prefixHash hash of the start of the prompt; requests that share it meet on few backend servers
 * @param excludedAddresses addresses that must not be used
 * @param exclusive true if nothing else of this host may run beside it
 * @param deadlineMillis wall-clock time after which a place is of no use, in milliseconds
 */
public record SlotRequest(
        Workspace workspace,
        String pool,
        int priority,
        long prefixHash,
        Set<String> excludedAddresses,
        boolean exclusive,
        long deadlineMillis) {}
