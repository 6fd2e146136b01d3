package io.heatherloft.domain.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A workspace: what its callers may use and how much of it.
 *
 * <p>Invariant: every model, cascade and service that it names exists in the same configuration. Immutable and safe
 * for use by several threads.
 *
 * @param keyDigests SHA-256 digests, in hexadecimal, of the API keys that name this workspace
 * @param grants models and versions that its requests may run on
 * @param classes request class to the name of its cascade
 * @param services plain services that it may call
 */
public record Workspace(
        String name,
        Set<String> keyDigests,
        List<Grant> grants,
        Map<String, String> classes,
        Set<String> services,
        Limits limits,
        WithdrawnSessionPolicy withdrawnSessionPolicy) {

    /** Returns true if requests of this workspace may run on {@code version}. */
    public boolean allows(VersionReference version) {
        return grants.stream()
                .anyMatch(grant -> grant.model().equals(version.model())
                        && grant.versions()
                                .map(names -> names.contains(version.version()))
                                .orElse(true));
    }

    /** Returns true if this workspace may use any version of {@code model}. */
    public boolean allowsModel(String model) {
        return grants.stream().anyMatch(grant -> grant.model().equals(model));
    }

    /**
     * Leave to use a model.
     *
     * @param versions the versions allowed; empty for all of them
     */
    public record Grant(String model, Optional<Set<String>> versions) {}

    /**
     * Limits of one workspace on each entry host.
     *
     * @param maxInFlight requests in progress at once on one entry host
     * @param maxQueued requests that wait at once on one entry host
     * @param maxBodyBytes size of a request body, in bytes
     * @param weight share of a contended backend server, relative to the other workspaces
     */
    public record Limits(int maxInFlight, int maxQueued, int maxBodyBytes, int weight) {}

    /** What happens to a session whose version is withdrawn. */
    public enum WithdrawnSessionPolicy {
        /** The next request of the session is refused. */
        REFUSE,
        /** The session moves to the successor of its version, and is refused if there is none. */
        SUCCESSOR
    }
}
