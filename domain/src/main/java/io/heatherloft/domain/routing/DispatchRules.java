package io.heatherloft.domain.routing;

import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.configuration.Workspace;
import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.membership.FactSet;
import java.util.Optional;

/**
 * Decides whether a version or a backend server may receive new requests. Enforces three rules: a workspace uses only
 * the versions that it is allowed, a withdrawn version receives no new requests, and neither does a leaving backend
 * server.
 *
 * <p>Checked at admission and again before each dispatch. Invariant: the result depends only on the given configuration
 * and facts. Confined to the thread that owns the fact set.
 */
public final class DispatchRules {
    private final Configuration configuration;
    private final FactSet facts;

    /** Creates rules that read the given configuration and facts. */
    public DispatchRules(Configuration configuration, FactSet facts) {
        this.configuration = configuration;
        this.facts = facts;
    }

    /** Returns the reason why {@code version} may not serve {@code workspaceName}, or empty if it may. */
    public Optional<Refusal> refusalOf(String workspaceName, VersionReference version) {
        Workspace workspace = configuration.workspaces().get(workspaceName);
        if (workspace == null || !workspace.allows(version)) {
            return Optional.of(Refusal.NOT_ALLOWED);
        }
        if (!configuration.isActive(version)) {
            return Optional.of(Refusal.WITHDRAWN);
        }
        return facts.details(Fact.Kind.VERSION_QUARANTINED, version.toString())
                        .contains(configuration.declarationDigest(version.model()))
                ? Optional.of(Refusal.QUARANTINED)
                : Optional.empty();
    }

    /** Returns true if a backend server may receive new requests. */
    public boolean acceptsNewRequests(BackendServer server) {
        return !server.leaving() && !facts.contains(Fact.Kind.BACKEND_LEAVING, server.address());
    }

    /** Reason why a version may not be used. */
    public enum Refusal {
        /** The workspace is not allowed to use it. */
        NOT_ALLOWED,
        /** The configuration declares it as withdrawn, or not at all. */
        WITHDRAWN,
        /** Its answers were rated poor, and the declaration of its model has not changed since. */
        QUARANTINED
    }
}
