package io.heatherloft.router.fleet;

import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.rollout.RetainedSessions;
import io.heatherloft.domain.rollout.RolloutOrder;
import io.heatherloft.domain.rollout.RolloutProgress;
import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.domain.rollout.VersionOutcomes;
import io.heatherloft.ports.loop.Loop;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The version policies of all services.
 *
 * <p>Confined to the loop's thread.
 */
public final class VersionPolicies {
    private final Loop loop;
    private final SessionVersions sessions;
    private final Map<String, VersionPolicy> policies = new HashMap<>();

    /** Creates policies that share one map of session versions. */
    public VersionPolicies(Loop loop, SessionVersions sessions) {
        this.loop = loop;
        this.sessions = sessions;
    }

    /** Returns the policy of a service, created on first use. */
    public VersionPolicy of(String service) {
        return policies.computeIfAbsent(service, name -> new VersionPolicy(name, sessions));
    }

    /** Records that a request of a session started or ended on a version. */
    public void recordSession(String service, String session, String version) {
        sessions.record(service, session, version, loop.nowMillis());
        of(service).onSessionServed(session, version, loop.nowMillis());
    }

    /** Adds a response whose progress counts until one of the methods below records its end. */
    public void onResponseStart(String service, ResponseProgress response) {
        of(service).onResponseStart(response);
    }

    /** Removes a response that the host or its caller gave up; it counts only if it was late by then. */
    public void onResponseAbandoned(String service, ResponseProgress response) {
        of(service).onResponseAbandoned(response, loop.nowMillis());
    }

    /** Removes a response that no server has run. */
    public void onNotExecuted(String service, ResponseProgress response) {
        of(service).onResponseFailure(response);
    }

    /** Records a failed request in the outcomes of the service's rollout, if there is one. */
    public void recordFailure(String service, ResponseProgress response) {
        VersionPolicy policy = of(service);
        policy.onResponseFailure(response);
        policy.rollout().ifPresent(rollout -> rollout.record(response.version(), true));
    }

    /**
     * Records a complete response of a version and its speed.
     */
    public void recordResponse(String service, ResponseProgress response) {
        VersionPolicy policy = of(service);
        String version = response.version();
        String kind = response.kind();
        long events = Math.max(1, response.receivedEvents());
        long totalMillis = loop.nowMillis() - response.sentAtMillis();
        // Streams differ in length, so the time is normalized per event, including the time to the first event.
        double millis = (double) totalMillis / events;
        policy.onResponseComplete(response, loop.nowMillis());
        policy.rollout().ifPresent(rollout -> {
            rollout.record(version, false);
            policy.speedBaseline()
                    .ratioToBaseline(kind, millis)
                    .ifPresent(ratio -> rollout.recordSpeed(version, ratio));
        });
        boolean underRollout = policy.rollout()
                .filter(rollout -> rollout.order().target().equals(version))
                .isPresent();
        if (!underRollout) {
            policy.speedBaseline().record(kind, millis);
            double firstEventMillis = (double) response.firstEventMillis().orElse(totalMillis);
            policy.eventTimeBaseline().record(kind, firstEventMillis, (double) totalMillis, events);
        }
    }

    /**
     * Progress and outcomes of a rollout on one host.
     *
     * @param elapsedMillis time since the host first received the rollout order
     * @param target outcomes of the version that is rolled out
     * @param previous outcomes of the versions that it replaces
     */
    public record Progress(
            String service,
            StoreRevision orderRevision,
            long elapsedMillis,
            VersionOutcomes target,
            VersionOutcomes previous) {}

    /** Returns the progress of all rollouts on this host. */
    public List<Progress> localProgress(long nowMillis) {
        policies.values().forEach(policy -> policy.refreshInProgress(nowMillis));
        return policies.values().stream()
                .flatMap(policy -> policy.rollout().stream())
                .map(rollout -> new Progress(
                        rollout.order().service(),
                        rollout.orderRevision(),
                        rollout.elapsedMillis(nowMillis),
                        rollout.localTarget(),
                        rollout.localPrevious()))
                .toList();
    }

    /**
     * Records the progress of a rollout on another host.
     *
     * @param host identifies the incarnation of the host, so that outcomes from before a restart of it are kept
     */
    public void recordRemoteProgress(String host, Progress progress) {
        of(progress.service())
                .rollout()
                .filter(rollout -> rollout.orderRevision().equals(progress.orderRevision()))
                .ifPresent(rollout -> {
                    rollout.raiseElapsedTo(progress.elapsedMillis(), loop.nowMillis());
                    rollout.recordRemote(host, progress.target(), progress.previous());
                });
    }

    /**
     * Sessions that stay on the previous version of a service until the ramp of a rollout.
     *
     * @param hashes positions of the sessions in the rollout, as in {@link RetainedSessions}
     */
    public record Retained(String service, StoreRevision orderRevision, List<Long> hashes) {}

    /** Returns the retained sessions of all rollouts that have not reached their ramp. */
    public List<Retained> retainedSessions() {
        return rolloutsBeforeRamp()
                .map(rollout -> new Retained(
                        rollout.order().service(),
                        rollout.orderRevision(),
                        rollout.retained().hashes()))
                .toList();
    }

    /** Adds the retained sessions that another host knows. */
    public void addRetainedSessions(Retained retained) {
        of(retained.service())
                .rollout()
                .filter(rollout -> rollout.orderRevision().equals(retained.orderRevision()))
                .ifPresent(rollout -> rollout.retained().addAll(retained.hashes()));
    }

    /** Returns true if a rollout has begun and waits for the hosts to learn of it. */
    public boolean isRolloutWaiting() {
        return rolloutsBeforeRamp().anyMatch(rollout -> rollout.isWaiting(loop.nowMillis()));
    }

    private Stream<VersionPolicy.Rollout> rolloutsBeforeRamp() {
        return policies.values().stream()
                .flatMap(policy -> policy.rollout().stream())
                .filter(rollout -> rollout.sharesRetainedSessions(loop.nowMillis()));
    }

    void onVersionSeen(String service, String version) {
        of(service).onVersionSeen(version, loop.nowMillis());
    }

    void onOrder(RolloutOrder order, StoreRevision revision) {
        of(order.service()).onOrder(order, revision, loop.nowMillis());
    }

    void onState(RolloutState state, StoreRevision revision) {
        of(state.service()).onState(state, revision);
    }

    void onProgress(String service, RolloutProgress progress, StoreRevision revision) {
        of(service).onProgress(progress, revision, loop.nowMillis());
    }

    Collection<VersionPolicy> all() {
        return policies.values();
    }
}
