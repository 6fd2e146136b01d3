package io.heatherloft.router.fleet;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.rollout.LatencyBaseline;
import io.heatherloft.domain.rollout.RolloutOrder;
import io.heatherloft.domain.rollout.RolloutPlan;
import io.heatherloft.domain.rollout.RolloutProgress;
import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.domain.rollout.VersionOutcomes;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Which version of a service runs a request, and how the versions of a roll-out compare.
 *
 * <p>Invariants: a version that was judged bad runs no further request unless a new order names it; a session never
 * moves from the new version back to the old one while the new one is not judged bad. Confined to the loop's thread.
 */
public final class VersionPolicy {
    // Time after which a version that appeared without an order counts as any other; the order may still be on its way.
    private static final long UNANNOUNCED_MILLIS = 2_000L;

    private final String service;
    private final SessionVersions sessions;
    private final Map<String, Long> firstSeenMillis = new HashMap<>();
    private final Set<String> badVersions = new HashSet<>();
    private Optional<String> currentVersion = Optional.empty();
    private final LatencyBaseline speeds = new LatencyBaseline();
    private Optional<Rollout> rollout = Optional.empty();
    private Optional<RolloutProgress> newestProgress = Optional.empty();
    private long progressKeyRevision;
    private Optional<RolloutState> newestState = Optional.empty();
    private OptionalLong stateKeyRevision = OptionalLong.empty();

    VersionPolicy(String service, SessionVersions sessions) {
        this.service = service;
        this.sessions = sessions;
    }

    /** A server of a version is known. */
    void onVersionSeen(String version, long nowMillis) {
        firstSeenMillis.putIfAbsent(version, nowMillis);
    }

    /** Takes an order at a revision of the store. */
    void onOrder(RolloutOrder order, long revision, long nowMillis) {
        if (rollout.map(known -> revision > known.orderRevision).orElse(true)) {
            badVersions.remove(order.target());
            rollout = Optional.of(new Rollout(order, revision, nowMillis));
            // The state may have been learned first.
            newestState.ifPresent(this::apply);
            applyProgress(nowMillis);
        }
    }

    /** The order was withdrawn. */
    void onOrderRemoved(long revision) {
        rollout = rollout.filter(known -> known.orderRevision > revision);
    }

    /** Takes the state of a roll-out at a revision of the store. */
    void onState(RolloutState state, long revision) {
        if (revision <= stateKeyRevision.orElse(0)) {
            return;
        }
        stateKeyRevision = OptionalLong.of(revision);
        newestState = Optional.of(state);
        apply(state);
    }

    private void apply(RolloutState state) {
        rollout.filter(known -> stateKeyRevision.orElse(0) > known.orderRevision
                        && known.order.target().equals(state.target()))
                .ifPresent(known -> {
                    known.statePhase = Optional.of(state.phase());
                    if (state.phase().isFinal()) {
                        finish(known, state.phase());
                    }
                });
    }

    private void finish(Rollout finished, RolloutState.Phase phase) {
        finished.decided = Optional.of(phase);
        if (phase == RolloutState.Phase.REVERTED) {
            badVersions.add(finished.order.target());
        } else {
            currentVersion = Optional.of(finished.order.target());
        }
    }

    /** Judges the target as bad or good, before the store has heard of it. */
    void decide(RolloutState.Phase phase) {
        rollout.ifPresent(known -> finish(known, phase));
    }

    /** Takes a recorded progress at a revision of the store. */
    void onProgress(RolloutProgress progress, long revision, long nowMillis) {
        progressKeyRevision = Math.max(progressKeyRevision, revision);
        newestProgress = newestProgress
                .filter(known -> known.orderRevision() > progress.orderRevision())
                .or(() -> Optional.of(progress));
        applyProgress(nowMillis);
    }

    private void applyProgress(long nowMillis) {
        newestProgress.ifPresent(progress -> rollout.filter(known -> known.orderRevision == progress.orderRevision())
                .ifPresent(known -> known.onRecorded(progress.elapsedMillis(), nowMillis)));
    }

    /** Returns the revision of the newest recorded progress, of whichever order; 0 if there is none. */
    long progressKeyRevision() {
        return progressKeyRevision;
    }

    /** Returns the revision of the newest state known, of whichever order. */
    OptionalLong stateKeyRevision() {
        return stateKeyRevision;
    }

    LatencyBaseline speeds() {
        return speeds;
    }

    Optional<Rollout> rollout() {
        return rollout;
    }

    /** Returns the versions that may run a request, best first; the first that has a server runs it. */
    public List<String> preferences(Optional<String> session, String requestId, Set<String> present, long nowMillis) {
        List<String> usable = present.stream()
                .filter(version -> !badVersions.contains(version))
                .sorted()
                .toList();
        if (rollout.isEmpty()) {
            return withoutUnannounced(usable, nowMillis);
        }
        Rollout known = rollout.get();
        String target = known.order.target();
        List<String> before =
                usable.stream().filter(version -> !version.equals(target)).toList();
        if (!usable.contains(target)) {
            return before;
        }
        if (known.decided.isPresent()) {
            return known.decided.get() == RolloutState.Phase.COMPLETED ? join(List.of(target), before) : before;
        }
        if (before.isEmpty()) {
            return List.of(target);
        }
        return runsOnTarget(known, session, requestId, nowMillis) ? join(List.of(target), before) : before;
    }

    private boolean runsOnTarget(Rollout known, Optional<String> session, String requestId, long nowMillis) {
        long elapsed = known.plannedMillis(nowMillis);
        long duration = known.order.durationMillis();
        Optional<String> last = session.flatMap(name -> sessions.find(service, name, nowMillis));
        if (last.isPresent()) {
            boolean onTarget = last.get().equals(known.order.target());
            if (onTarget || !RolloutPlan.mayMoveSessions(elapsed, duration)) {
                return onTarget;
            }
        }
        long hash = StableHash.of(service + '/' + known.order.target(), session.orElse(requestId));
        return StableHash.toUnitInterval(hash) < RolloutPlan.shareAt(elapsed, duration);
    }

    private List<String> withoutUnannounced(List<String> usable, long nowMillis) {
        long oldest = usable.stream()
                .mapToLong(version -> firstSeenMillis.getOrDefault(version, nowMillis))
                .min()
                .orElse(nowMillis);
        List<String> announced = usable.stream()
                .filter(version -> {
                    long seen = firstSeenMillis.getOrDefault(version, nowMillis);
                    return seen <= oldest + UNANNOUNCED_MILLIS / 2 || nowMillis - seen >= UNANNOUNCED_MILLIS;
                })
                .toList();
        return currentVersion
                .filter(announced::contains)
                .map(current -> join(List.of(current), announced))
                .orElse(announced);
    }

    private static List<String> join(List<String> first, List<String> rest) {
        return java.util.stream.Stream.concat(first.stream(), rest.stream())
                .distinct()
                .toList();
    }

    /** An order with what is known of its progress. Confined to the loop's thread. */
    static final class Rollout {
        private final RolloutOrder order;
        private final long orderRevision;
        private long startMillis;
        private long recordedMillis;
        private Optional<RolloutState.Phase> statePhase = Optional.empty();
        private Optional<RolloutState.Phase> decided = Optional.empty();
        private VersionOutcomes target = VersionOutcomes.NONE;
        private VersionOutcomes before = VersionOutcomes.NONE;
        private final Map<String, VersionOutcomes> otherTargets = new HashMap<>();
        private final Map<String, VersionOutcomes> otherBefores = new HashMap<>();

        Rollout(RolloutOrder order, long orderRevision, long startMillis) {
            this.order = order;
            this.orderRevision = orderRevision;
            this.startMillis = startMillis;
        }

        RolloutOrder order() {
            return order;
        }

        long orderRevision() {
            return orderRevision;
        }

        Optional<RolloutState.Phase> statePhase() {
            return statePhase;
        }

        Optional<RolloutState.Phase> decided() {
            return decided;
        }

        /** Returns the answers of the new version, on all hosts. */
        VersionOutcomes target() {
            return otherTargets.values().stream().reduce(target, VersionOutcomes::plus);
        }

        /** Returns the answers of the version before, on all hosts. */
        VersionOutcomes before() {
            return otherBefores.values().stream().reduce(before, VersionOutcomes::plus);
        }

        VersionOutcomes ownTarget() {
            return target;
        }

        VersionOutcomes ownBefore() {
            return before;
        }

        void recordOthers(String host, VersionOutcomes hostTarget, VersionOutcomes hostBefore) {
            otherTargets.put(host, hostTarget);
            otherBefores.put(host, hostBefore);
        }

        long elapsedMillis(long nowMillis) {
            return nowMillis - startMillis;
        }

        /** Returns how far the plan has come: no further than its records allow. */
        long plannedMillis(long nowMillis) {
            return RolloutPlan.limitToRecorded(elapsedMillis(nowMillis), recordedMillis, order.durationMillis());
        }

        /** Returns the progress that the store has recorded. */
        long recordedMillis() {
            return recordedMillis;
        }

        /** The store has recorded a progress. */
        void onRecorded(long progressMillis, long nowMillis) {
            recordedMillis = Math.max(recordedMillis, progressMillis);
            raiseElapsed(progressMillis, nowMillis);
        }

        /** Another host has seen the order for longer. */
        void raiseElapsed(long elapsedMillis, long nowMillis) {
            startMillis = Math.min(startMillis, nowMillis - elapsedMillis);
        }

        void recordSpeed(String version, double timeOverUsual) {
            if (version.equals(order.target())) {
                target = target.plusSpeed(timeOverUsual);
            } else {
                before = before.plusSpeed(timeOverUsual);
            }
        }

        void record(String version, boolean bad) {
            if (version.equals(order.target())) {
                target = target.plusAnswer(bad);
            } else {
                before = before.plusAnswer(bad);
            }
        }
    }
}
