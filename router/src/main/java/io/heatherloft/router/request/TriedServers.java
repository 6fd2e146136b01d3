package io.heatherloft.router.request;

import io.heatherloft.domain.route.BackendRegistration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The backend servers that one request has been sent to without success.
 *
 * <p>Confined to the loop's thread.
 */
final class TriedServers {
    // One failure is usual on a sound version; after the second the version itself is in doubt.
    private static final int SUSPECT_VERSION_FAILURES = 2;

    private final Set<String> serverIds = new HashSet<>();
    private final Map<String, Integer> failuresByVersion = new HashMap<>();

    /** A server did not answer the request. */
    void add(BackendRegistration server) {
        serverIds.add(server.id());
    }

    /** A server answered the request with a failure of its own. */
    void addFailure(BackendRegistration server) {
        add(server);
        failuresByVersion.merge(server.version(), 1, Integer::sum);
    }

    /** Returns true if the request was sent to a server without success. */
    boolean contains(String serverId) {
        return serverIds.contains(serverId);
    }

    /** Returns true if another version should run the request, if there is one that may. */
    boolean isVersionSuspect(String version) {
        return failuresByVersion.getOrDefault(version, 0) >= SUSPECT_VERSION_FAILURES;
    }
}
