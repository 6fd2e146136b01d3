package io.heatherloft.domain.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A workspace with the permissions and limits of its callers.
 *
 * <p>Invariant: every model, cascade and service that it refers to is declared in the same configuration. Immutable and
 * thread-safe.
 *
 * @param keyDigests hexadecimal SHA-256 digests of the workspace's API keys
 * @param grants models and versions that its requests may run on
 * @param classes names of cascades by request class
 * @param services names of the plain services that the workspace may call
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
     * Permission to use a model.
     *
     * @param versions the permitted versions; empty if all are permitted
     */
    public record Grant(String model, Optional<Set<String>> versions) {}

    /**
     * Limits that each entry host applies to a workspace.
     *
     * @param maxInFlight maximum number of requests in progress
     * @param maxQueued maximum number of queued requests
     * @param maxBodyBytes maximum size of a request body, in bytes
     * @param weight share of contended backend servers, relative to the weights of other workspaces
     */
    public record Limits(int maxInFlight, int maxQueued, int maxBodyBytes, int weight) {}

    /** Treatment of a session whose version is withdrawn. */
    public enum WithdrawnSessionPolicy {
        /** Requests of the session are refused. */
        REFUSE,
        /** The session moves to the successor of its version; its requests are refused if there is none. */
        SUCCESSOR
    }
}
