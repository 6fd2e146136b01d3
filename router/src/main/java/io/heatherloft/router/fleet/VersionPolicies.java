package io.heatherloft.router.fleet;

import io.heatherloft.domain.rollout.RolloutOrder;
import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.ports.loop.Loop;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The version policies of all services.
 *
 * <p>Confined to the loop's thread.
 */
public final class VersionPolicies {
    private final Loop loop;
    private final SessionVersions sessions;
    private final Map<String, VersionPolicy> policies = new HashMap<>();

    /** Creates policies that share one memory of sessions. */
    public VersionPolicies(Loop loop, SessionVersions sessions) {
        this.loop = loop;
        this.sessions = sessions;
    }

    /** Returns the policy of a service. */
    public VersionPolicy of(String service) {
        return policies.computeIfAbsent(service, name -> new VersionPolicy(name, sessions));
    }

    /** Returns the memory of sessions. */
    public SessionVersions sessions() {
        return sessions;
    }

    /** Records the outcome of a request on a version. */
    public void recordOutcome(String service, String version, boolean bad) {
        of(service).rollout().ifPresent(rollout -> rollout.record(version, bad));
    }

    void onVersionSeen(String service, String version) {
        of(service).onVersionSeen(version, loop.nowMillis());
    }

    void onOrder(RolloutOrder order, long revision) {
        of(order.service()).onOrder(order, revision, loop.nowMillis());
    }

    void onState(RolloutState state, long revision) {
        of(state.service()).onState(state, revision);
    }

    Collection<VersionPolicy> all() {
        return policies.values();
    }
}
