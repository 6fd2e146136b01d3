package io.heatherloft.domain.routing;

import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.configuration.Workspace;
import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.membership.FactSet;
import java.util.Optional;

/**
 * Decides whether work may go to a version or a backend server now: the home of the rules "only on an allowed
 * version", "no new work for a withdrawn version" and "no new work for a leaving backend server".
 *
 * <p>Callers ask at admission and again just before each dispatch. Invariant: the answer depends on the given state
 * alone. Confined to the thread of the fact set.
 */
public final class DispatchRules {
    private final Configuration configuration;
    private final FactSet facts;

    /** Creates rules over one configuration and the facts known now. */
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

    /** Returns true if a backend server may be given new work. */
    public boolean acceptsNewRequests(BackendServer server) {
        return !server.leaving() && !facts.contains(Fact.Kind.BACKEND_LEAVING, server.address());
    }

    /** Why a version may not be used. */
    public enum Refusal {
        /** The workspace's file does not allow it. */
        NOT_ALLOWED,
        /** The operators withdrew it, or never declared it. */
        WITHDRAWN,
        /** It was found to give poor answers, and its model has been declared no other way since. */
        QUARANTINED
    }
}
