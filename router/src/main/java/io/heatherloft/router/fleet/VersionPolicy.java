package io.heatherloft.router.fleet;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.rollout.EventTimeBaseline;
import io.heatherloft.domain.rollout.LatencyBaseline;
import io.heatherloft.domain.rollout.OverdueCounts;
import io.heatherloft.domain.rollout.RetainedSessions;
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
 * Selects the version of a service for each request, and tracks the outcomes of the versions of a rollout.
 *
 * <p>A version whose rollout was reverted gets no further requests unless a new order names it. A session does not move
 * from the target version back to a previous one unless the rollout is reverted. Confined to the loop's thread.
 */
public final class VersionPolicy {
    // A new version gets no requests for this time, since its rollout order may not have reached this host yet.
    private static final long ORDER_WAIT_MILLIS = 2_000L;

    // A younger response in progress tells nothing, since it is too early for it to be late.
    private static final long MIN_COMPARED_AGE_MILLIS = 1_000L;

    private final String service;
    private final SessionVersions sessions;
    private final Map<String, Long> firstSeenMillis = new HashMap<>();
    private final Set<String> revertedVersions = new HashSet<>();
    private Optional<String> currentVersion = Optional.empty();
    private final LatencyBaseline speedBaseline = new LatencyBaseline();
    private final EventTimeBaseline eventTimeBaseline = new EventTimeBaseline();
    private final Set<ResponseProgress> responsesInProgress = new HashSet<>();
    private Optional<Rollout> rollout = Optional.empty();
    private Optional<RolloutProgress> newestProgress = Optional.empty();
    private StoreRevision progressKeyRevision = StoreRevision.NONE;
    private Optional<RolloutState> newestState = Optional.empty();
    private StoreRevision stateKeyRevision = StoreRevision.NONE;

    VersionPolicy(String service, SessionVersions sessions) {
        this.service = service;
        this.sessions = sessions;
    }

    /** Called when a backend server reports a version. */
    void onVersionSeen(String version, long nowMillis) {
        firstSeenMillis.putIfAbsent(version, nowMillis);
    }

    /**
     * Starts the rollout of an order.
     *
     * <p>An order that was written again after the store had been restored continues the rollout that it began.
     */
    void onOrder(RolloutOrder order, StoreRevision revision, long nowMillis) {
        Optional<Rollout> same = rollout.filter(known -> known.isSameOrder(order, revision));
        if (same.isPresent()) {
            same.get().orderRevision = revision;
            applyProgress(nowMillis);
        } else {
            revertedVersions.remove(order.target());
            Rollout started = new Rollout(order, revision, nowMillis);
            rollout = Optional.of(started);
            sessions.activeOnOtherVersions(service, order.target(), nowMillis)
                    .forEach(session -> started.retain(sessionHash(session)));
            // The store may list the state before the order.
            newestState.ifPresent(this::applyIfFinal);
            applyProgress(nowMillis);
        }
    }

    /** Ends the rollout whose order was deleted. */
    void onOrderRemoved() {
        rollout = Optional.empty();
    }

    /** Applies a rollout state, unless a state with the same or a newer store revision is known. */
    void onState(RolloutState state, StoreRevision revision) {
        if (revision.isAfter(stateKeyRevision)) {
            stateKeyRevision = revision;
            newestState = Optional.of(state);
            applyIfFinal(state);
        }
    }

    /** Called when the store has no state, or has lost it; this host's own decision stays. */
    void onStateRemoved() {
        stateKeyRevision = StoreRevision.NONE;
        newestState = Optional.empty();
    }

    private void applyIfFinal(RolloutState state) {
        rollout.filter(_known -> state.phase().isFinal())
                .filter(known -> isStateOf(known, state))
                .ifPresent(known -> finish(known, state.phase()));
    }

    // A state from before the order belongs to a former rollout. An order of an earlier era has a number that the store
    // gives out again, so only a higher number shows that the state was written after it.
    private boolean isStateOf(Rollout known, RolloutState state) {
        return stateKeyRevision.era() >= known.orderRevision.era()
                && stateKeyRevision.number() > known.orderRevision.number()
                && known.order.target().equals(state.target());
    }

    /** Returns the phase of the current rollout in the store; empty if the store has none. */
    Optional<RolloutState.Phase> statePhase() {
        return newestState
                .filter(state ->
                        rollout.filter(known -> isStateOf(known, state)).isPresent())
                .map(RolloutState::phase);
    }

    private void finish(Rollout finished, RolloutState.Phase phase) {
        finished.decision = Optional.of(phase);
        if (phase == RolloutState.Phase.REVERTED) {
            revertedVersions.add(finished.order.target());
        } else {
            currentVersion = Optional.of(finished.order.target());
        }
    }

    /** Applies this host's own decision on the rollout, before it is written to the store. */
    void decide(RolloutState.Phase phase) {
        rollout.ifPresent(known -> finish(known, phase));
    }

    /** Applies rollout progress that was recorded in the store. */
    void onProgress(RolloutProgress progress, StoreRevision revision, long nowMillis) {
        if (revision.isAfter(progressKeyRevision)) {
            progressKeyRevision = revision;
            newestProgress = Optional.of(progress);
            applyProgress(nowMillis);
        }
    }

    /** Called when the store has no rollout progress, or has lost it; what this host knows of it stays. */
    void onProgressRemoved() {
        progressKeyRevision = StoreRevision.NONE;
        newestProgress = Optional.empty();
    }

    private void applyProgress(long nowMillis) {
        rollout.ifPresent(known -> storedProgress().ifPresent(elapsed -> known.onProgressRecorded(elapsed, nowMillis)));
    }

    /** Returns the elapsed time, in milliseconds, that the store has of the current rollout. */
    OptionalLong storedProgress() {
        return newestProgress.stream()
                .filter(progress -> rollout.filter(known -> progress.isOf(known.orderRevision))
                        .isPresent())
                .mapToLong(RolloutProgress::elapsedMillis)
                .findFirst();
    }

    /** Returns the store revision of the progress key, whichever order it belongs to. */
    StoreRevision progressKeyRevision() {
        return progressKeyRevision;
    }

    /** Returns the store revision of the state key, whichever order it belongs to. */
    StoreRevision stateKeyRevision() {
        return stateKeyRevision;
    }

    /** Adds a response whose progress counts until it is removed. */
    void onResponseStart(ResponseProgress response) {
        responsesInProgress.add(response);
    }

    /** Removes a complete response. */
    void onResponseComplete(ResponseProgress response, long nowMillis) {
        responsesInProgress.remove(response);
        boolean overdue = isOverdue(response, response.receivedEvents() - 1, nowMillis);
        rollout.ifPresent(
                current -> current.recordEnded(response.version(), OverdueCounts.NONE.plusResponse(overdue, false)));
    }

    /** Removes a response that the host or its caller gave up; it counts only if it was late by then. */
    void onResponseAbandoned(ResponseProgress response, long nowMillis) {
        responsesInProgress.remove(response);
        OverdueCounts counts = countInProgress(response, nowMillis);
        if (counts.overdue() > 0 || counts.stalled() > 0) {
            rollout.ifPresent(current -> current.recordEnded(response.version(), counts));
        }
    }

    /** Removes a response that failed. */
    void onResponseFailure(ResponseProgress response) {
        responsesInProgress.remove(response);
    }

    EventTimeBaseline eventTimeBaseline() {
        return eventTimeBaseline;
    }

    private OverdueCounts countInProgress(ResponseProgress response, long nowMillis) {
        boolean overdue = isOverdue(response, response.receivedEvents(), nowMillis);
        return OverdueCounts.NONE.plusResponse(overdue, response.isStalled());
    }

    private boolean isOverdue(ResponseProgress response, long furtherEvents, long nowMillis) {
        long elapsedMillis = nowMillis - response.sentAtMillis();
        OptionalLong firstEventMillis = response.firstEventMillis();
        return eventTimeBaseline.isFirstEventOverdue(response.kind(), (double) firstEventMillis.orElse(elapsedMillis))
                || (firstEventMillis.isPresent()
                        && eventTimeBaseline.areFurtherEventsOverdue(
                                response.kind(),
                                (double) (elapsedMillis - firstEventMillis.getAsLong()),
                                furtherEvents));
    }

    /** Updates the outcomes of the rollout with the responses that are in progress now. */
    void refreshInProgress(long nowMillis) {
        rollout.ifPresent(current -> {
            current.targetInProgress = OverdueCounts.NONE;
            current.previousInProgress = OverdueCounts.NONE;
            responsesInProgress.forEach(response -> {
                OverdueCounts counts = countInProgress(response, nowMillis);
                boolean old = nowMillis - response.sentAtMillis() >= MIN_COMPARED_AGE_MILLIS;
                if (old || counts.overdue() > 0 || counts.stalled() > 0) {
                    current.addInProgress(response.version(), counts);
                }
            });
        });
    }

    LatencyBaseline speedBaseline() {
        return speedBaseline;
    }

    Optional<Rollout> rollout() {
        return rollout;
    }

    /** Returns the versions that may run a request and the reason for their order. */
    public VersionPreference preference(
            Optional<String> session, String requestId, Set<String> present, long nowMillis) {
        List<String> usable = present.stream()
                .filter(version -> !revertedVersions.contains(version))
                .sorted()
                .toList();
        if (rollout.isEmpty()) {
            return new VersionPreference(versionsWithoutRollout(usable, nowMillis), Reason.NO_ROLLOUT);
        }
        Rollout current = rollout.get();
        String target = current.order.target();
        List<String> previous =
                usable.stream().filter(version -> !version.equals(target)).toList();
        if (!usable.contains(target)) {
            return new VersionPreference(previous, Reason.ONLY_AVAILABLE);
        }
        if (current.decision.isPresent()) {
            return new VersionPreference(
                    current.decision.get() == RolloutState.Phase.COMPLETED
                            ? concat(List.of(target), previous)
                            : previous,
                    Reason.DECISION);
        }
        if (previous.isEmpty()) {
            return new VersionPreference(List.of(target), Reason.ONLY_AVAILABLE);
        }
        List<String> targetFirst = concat(List.of(target), previous);
        long elapsed = current.planElapsedMillis(nowMillis);
        long duration = current.order.durationMillis();
        Optional<String> last = session.flatMap(name -> sessions.find(service, name, nowMillis));
        if (last.isPresent()) {
            boolean onTarget = last.get().equals(target);
            if (onTarget || !RolloutPlan.mayMoveSessions(elapsed, duration)) {
                return new VersionPreference(onTarget ? targetFirst : previous, Reason.SESSION);
            }
        }
        long hash = sessionHash(session.orElse(requestId));
        if (!RolloutPlan.mayMoveSessions(elapsed, duration) && current.retained.contains(hash)) {
            return new VersionPreference(previous, Reason.RETAINED);
        }
        boolean inShare = StableHash.toUnitInterval(hash) < RolloutPlan.shareAt(elapsed, duration);
        return new VersionPreference(inShare ? targetFirst : previous, Reason.SHARE);
    }

    private List<String> versionsWithoutRollout(List<String> usable, long nowMillis) {
        long oldest = usable.stream()
                .mapToLong(version -> firstSeenMillis.getOrDefault(version, nowMillis))
                .min()
                .orElse(nowMillis);
        List<String> eligible = usable.stream()
                .filter(version -> {
                    long seen = firstSeenMillis.getOrDefault(version, nowMillis);
                    return seen <= oldest + ORDER_WAIT_MILLIS / 2 || nowMillis - seen >= ORDER_WAIT_MILLIS;
                })
                .toList();
        return currentVersion
                .filter(eligible::contains)
                .map(current -> concat(List.of(current), eligible))
                .orElse(eligible);
    }

    /** Called when a request of a session started or ended on a version. */
    void onSessionServed(String session, String version, long nowMillis) {
        rollout.filter(current -> current.sharesRetainedSessions(nowMillis))
                .filter(current -> !current.order.target().equals(version))
                .ifPresent(current -> current.retain(sessionHash(session)));
    }

    private long sessionHash(String sessionOrRequest) {
        String target = rollout.map(current -> current.order.target()).orElse("");
        return StableHash.of(service + '/' + target, sessionOrRequest);
    }

    private static List<String> concat(List<String> first, List<String> rest) {
        return java.util.stream.Stream.concat(first.stream(), rest.stream())
                .distinct()
                .toList();
    }

    /**
     * Versions that may run a request.
     *
     * @param versions in order of preference: the first one with a usable server runs the request
     * @param reason what determined the first version
     */
    public record VersionPreference(List<String> versions, Reason reason) {}

    /** What determines the version of a request. The names appear in the log. */
    public enum Reason {
        /** No rollout is in progress. */
        NO_ROLLOUT,
        /** Servers of other versions are missing. */
        ONLY_AVAILABLE,
        /** The rollout has been completed or reverted. */
        DECISION,
        /** The session ran on this version before. */
        SESSION,
        /** The session ran on a previous version before the canary phase, on any host. */
        RETAINED,
        /** The share of sessions that the schedule assigns to the target version. */
        SHARE
    }

    /** A rollout order with its progress and the outcomes of its versions. Confined to the loop's thread. */
    static final class Rollout {
        private final RolloutOrder order;
        private StoreRevision orderRevision;
        private long startMillis;
        private long recordedElapsedMillis;
        private Optional<RolloutState.Phase> decision = Optional.empty();
        private VersionOutcomes target = VersionOutcomes.NONE;
        private VersionOutcomes previous = VersionOutcomes.NONE;
        private OverdueCounts targetInProgress = OverdueCounts.NONE;
        private OverdueCounts previousInProgress = OverdueCounts.NONE;
        private final Map<String, VersionOutcomes> remoteTargets = new HashMap<>();
        private final Map<String, VersionOutcomes> remotePrevious = new HashMap<>();
        private final RetainedSessions retained = new RetainedSessions();

        Rollout(RolloutOrder order, StoreRevision orderRevision, long startMillis) {
            this.order = order;
            this.orderRevision = orderRevision;
            this.startMillis = startMillis;
        }

        RolloutOrder order() {
            return order;
        }

        /** Returns the store revision of the order, by which hosts refer to the rollout. */
        StoreRevision orderRevision() {
            return orderRevision;
        }

        boolean isSameOrder(RolloutOrder other, StoreRevision revision) {
            return orderRevision.equals(revision) || (order.equals(other) && orderRevision.era() != revision.era());
        }

        Optional<RolloutState.Phase> decision() {
            return decision;
        }

        /** Returns the outcomes of the target version on all hosts. */
        VersionOutcomes target() {
            return remoteTargets.values().stream().reduce(localTarget(), VersionOutcomes::plus);
        }

        /** Returns the outcomes of the previous versions on all hosts. */
        VersionOutcomes previous() {
            return remotePrevious.values().stream().reduce(localPrevious(), VersionOutcomes::plus);
        }

        VersionOutcomes localTarget() {
            return target.plusOverdue(targetInProgress);
        }

        VersionOutcomes localPrevious() {
            return previous.plusOverdue(previousInProgress);
        }

        /** Returns true if the hosts exchange the retained sessions: until the ramp, after which all sessions may move. */
        boolean sharesRetainedSessions(long nowMillis) {
            return decision.isEmpty()
                    && !RolloutPlan.mayMoveSessions(planElapsedMillis(nowMillis), order.durationMillis());
        }

        /** Returns true if the rollout has begun and the target version gets no requests yet. */
        boolean isWaiting(long nowMillis) {
            return decision.isEmpty()
                    && RolloutPlan.stageAt(planElapsedMillis(nowMillis), order.durationMillis())
                            == RolloutPlan.Stage.WAITING;
        }

        RetainedSessions retained() {
            return retained;
        }

        /** Keeps a session on the previous version until the ramp. Others are not in the canary phase anyway. */
        void retain(long sessionHash) {
            if (RolloutPlan.isCanary(sessionHash)) {
                retained.add(sessionHash);
            }
        }

        void recordRemote(String host, VersionOutcomes hostTarget, VersionOutcomes hostPrevious) {
            remoteTargets.put(host, hostTarget);
            remotePrevious.put(host, hostPrevious);
        }

        long elapsedMillis(long nowMillis) {
            return nowMillis - startMillis;
        }

        /** Returns the elapsed time that the plan goes by, which is limited by the progress recorded in the store. */
        long planElapsedMillis(long nowMillis) {
            return RolloutPlan.limitToRecorded(elapsedMillis(nowMillis), recordedElapsedMillis, order.durationMillis());
        }

        /** Called when progress was recorded in the store. */
        void onProgressRecorded(long progressMillis, long nowMillis) {
            recordedElapsedMillis = Math.max(recordedElapsedMillis, progressMillis);
            raiseElapsedTo(progressMillis, nowMillis);
        }

        /** Raises the elapsed time to that of a host that has known the order for longer. */
        void raiseElapsedTo(long elapsedMillis, long nowMillis) {
            startMillis = Math.min(startMillis, nowMillis - elapsedMillis);
        }

        void recordSpeed(String version, double durationRatio) {
            if (version.equals(order.target())) {
                target = target.plusSpeed(durationRatio);
            } else {
                previous = previous.plusSpeed(durationRatio);
            }
        }

        void recordEnded(String version, OverdueCounts counts) {
            if (version.equals(order.target())) {
                target = target.plusOverdue(counts);
            } else {
                previous = previous.plusOverdue(counts);
            }
        }

        private void addInProgress(String version, OverdueCounts counts) {
            if (version.equals(order.target())) {
                targetInProgress = targetInProgress.plus(counts);
            } else {
                previousInProgress = previousInProgress.plus(counts);
            }
        }

        void record(String version, boolean bad) {
            if (version.equals(order.target())) {
                target = target.plusAnswer(bad);
            } else {
                previous = previous.plusAnswer(bad);
            }
        }
    }
}
