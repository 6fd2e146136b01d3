package io.heatherloft.router.request;

import io.heatherloft.domain.route.BackendRegistration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The backend servers on which one request has failed.
 *
 * <p>Confined to the loop's thread.
 */
final class TriedServers {
    // Single failures also occur on a good version; a second one for the same request makes the version suspect.
    private static final int SUSPECT_VERSION_FAILURES = 2;

    private final Set<String> serverIds = new HashSet<>();
    private final Map<String, Integer> failuresByVersion = new HashMap<>();

    /** Records a server that returned no usable response. */
    void add(BackendRegistration server) {
        serverIds.add(server.id());
    }

    /** Records a server that responded with a server error, which counts against its version as well. */
    void addFailure(BackendRegistration server) {
        add(server);
        failuresByVersion.merge(server.version(), 1, Integer::sum);
    }

    /** Returns true if the request has failed on the server. */
    boolean contains(String serverId) {
        return serverIds.contains(serverId);
    }

    /** Returns true if a server of another version should be preferred. */
    boolean isVersionSuspect(String version) {
        return failuresByVersion.getOrDefault(version, 0) >= SUSPECT_VERSION_FAILURES;
    }
}
