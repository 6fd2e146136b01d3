package io.heatherloft.router.fleet;

import io.heatherloft.domain.rollout.RolloutOrder;
import io.heatherloft.domain.rollout.RolloutProgress;
import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.domain.rollout.VersionOutcomes;
import io.heatherloft.ports.loop.Loop;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
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

    /** Records a request that failed on a version. */
    public void recordFailure(String service, String version) {
        of(service).rollout().ifPresent(rollout -> rollout.record(version, true));
    }

    /**
     * Records a whole answer of a version.
     *
     * @param kind answers of one kind take about the same time
     * @param millis time of the answer, or of one of its parts where answers of the kind differ in length
     */
    public void recordAnswer(String service, String version, String kind, double millis) {
        VersionPolicy policy = of(service);
        policy.rollout().ifPresent(rollout -> {
            rollout.record(version, false);
            policy.speeds().ratioToBaseline(kind, millis).ifPresent(ratio -> rollout.recordSpeed(version, ratio));
        });
        boolean onTrial = policy.rollout()
                .filter(rollout -> rollout.order().target().equals(version))
                .isPresent();
        if (!onTrial) {
            policy.speeds().record(kind, millis);
        }
    }

    /**
     * How far a roll-out has come on one host.
     *
     * @param elapsedMillis time since the host first knew of the order
     */
    public record Progress(
            String service, long orderRevision, long elapsedMillis, VersionOutcomes target, VersionOutcomes before) {}

    /** Returns the progress of all roll-outs on this host. */
    public List<Progress> progress(long nowMillis) {
        return policies.values().stream()
                .flatMap(policy -> policy.rollout().stream())
                .map(rollout -> new Progress(
                        rollout.order().service(),
                        rollout.orderRevision(),
                        rollout.elapsedMillis(nowMillis),
                        rollout.ownTarget(),
                        rollout.ownBefore()))
                .toList();
    }

    /** Takes the progress of a roll-out on another host, or on an earlier incarnation of one. */
    public void recordOtherHost(String host, Progress progress) {
        of(progress.service())
                .rollout()
                .filter(rollout -> rollout.orderRevision() == progress.orderRevision())
                .ifPresent(rollout -> {
                    rollout.raiseElapsed(progress.elapsedMillis(), loop.nowMillis());
                    rollout.recordOthers(host, progress.target(), progress.before());
                });
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

    void onProgress(String service, RolloutProgress progress, long revision) {
        of(service).onProgress(progress, revision, loop.nowMillis());
    }

    Collection<VersionPolicy> all() {
        return policies.values();
    }
}
