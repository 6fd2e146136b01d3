package io.heatherloft.router.fleet;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.rollout.RolloutPlan;
import io.heatherloft.domain.rollout.RolloutProgress;
import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.WriteOutcome;
import io.heatherloft.router.log.DecisionLog;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Decides whether rollouts complete or revert, and writes their state to the store, where operators read it.
 *
 * <p>Every host runs this controller. Writes are compare-and-set on the key's revision, so that one host wins. A host
 * never replaces a final state of the same rollout order. Confined to the loop's thread.
 */
public final class RolloutController {
    private static final long TICK_MILLIS = 200L;

    private final Loop loop;
    private final KeyValueStore store;
    private final StoredFormats formats;
    private final VersionPolicies versions;
    private final DecisionLog log;
    private final LongSupplier storeEra;
    private final WriteTurns writeTurns;
    private final Map<String, ScheduledWrite> scheduledWrites = new HashMap<>();
    private final Set<String> pendingStateWrites = new HashSet<>();
    private final Set<String> pendingProgressWrites = new HashSet<>();
    private final Map<String, Long> nextStateWriteMillis = new HashMap<>();
    private final Map<String, RolloutPlan.Stage> loggedStages = new HashMap<>();
    private Loop.Cancellation tickTimer = () -> {};

    /**
     * Creates a controller that is idle until {@link #start}.
     *
     * @param storeEra supplies the newest known era of the store
     * @param writeTurns tells when this host may write what all hosts are about to write
     */
    public RolloutController(
            Loop loop,
            KeyValueStore store,
            StoredFormats formats,
            VersionPolicies versions,
            DecisionLog log,
            LongSupplier storeEra,
            WriteTurns writeTurns) {
        this.loop = loop;
        this.store = store;
        this.formats = formats;
        this.versions = versions;
        this.log = log;
        this.storeEra = storeEra;
        this.writeTurns = writeTurns;
    }

    /** Starts the periodic reconciliation of rollouts. */
    public void start() {
        tickTimer = loop.repeat(TICK_MILLIS, this::tick);
    }

    /** Stops the reconciliation. */
    public void stop() {
        tickTimer.cancel();
    }

    private void tick() {
        versions.all().forEach(policy -> policy.refreshInProgress(loop.nowMillis()));
        versions.all().forEach(policy -> policy.rollout().ifPresent(rollout -> reconcile(policy, rollout)));
    }

    private void reconcile(VersionPolicy policy, VersionPolicy.Rollout rollout) {
        // An order that the restored store has lost is written again by its operator, at a new revision.
        boolean orderStored = rollout.orderRevision().era() == storeEra.getAsLong();
        if (orderStored) {
            recordProgress(policy, rollout);
        }
        long elapsed = rollout.planElapsedMillis(loop.nowMillis());
        long duration = rollout.order().durationMillis();
        logStageChange(rollout, RolloutPlan.stageAt(elapsed, duration));
        if (rollout.decision().isEmpty() && rollout.target().isWorseThan(rollout.previous())) {
            policy.decide(RolloutState.Phase.REVERTED);
            logDecision(rollout, "reverted");
        }
        RolloutState.Phase desired = rollout.decision()
                .orElseGet(() -> RolloutPlan.isCompletionDue(elapsed, duration)
                        ? RolloutState.Phase.COMPLETED
                        : RolloutState.Phase.RUNNING);
        boolean written = policy.statePhase()
                .map(phase -> phase.isFinal() || phase == desired)
                .orElse(false);
        if (orderStored && !written) {
            writeState(policy, rollout, desired);
        }
    }

    private void recordProgress(VersionPolicy policy, VersionPolicy.Rollout rollout) {
        String service = rollout.order().service();
        long elapsed = rollout.elapsedMillis(loop.nowMillis());
        boolean needed = rollout.decision().isEmpty()
                && RolloutPlan.needsRecord(
                        elapsed,
                        policy.storedProgress().orElse(0),
                        rollout.order().durationMillis());
        String key = formats.rolloutProgressPrefix() + service;
        if (!needed
                || !isWriteDue(key, String.valueOf(policy.progressKeyRevision()))
                || !pendingProgressWrites.add(service)) {
            return;
        }
        RolloutProgress progress = new RolloutProgress(rollout.orderRevision(), elapsed);
        Futures.onComplete(
                store.putIfRevision(
                        key, Bytes.ofText(progress.toText()), policy.progressKeyRevision(), OptionalLong.empty()),
                (outcome, failure) -> {
                    // A host that lost the race receives the winner's record from its watch; the delay allows for that.
                    loop.schedule(TICK_MILLIS, () -> pendingProgressWrites.remove(service));
                    if (outcome instanceof WriteOutcome.Applied applied) {
                        versions.onProgress(service, progress, applied.revision());
                    } else {
                        logNotWritten("rollout_progress", service, reasonOf(outcome, failure));
                    }
                });
    }

    private void logStageChange(VersionPolicy.Rollout rollout, RolloutPlan.Stage stage) {
        String service = rollout.order().service();
        if (loggedStages.put(service, stage) != stage) {
            log.stateChange("rollout_stage", line -> line.with("service", service)
                    .with("order_revision", rollout.orderRevision().number())
                    .with("era", rollout.orderRevision().era())
                    .with("elapsed_ms", rollout.elapsedMillis(loop.nowMillis()))
                    .with("outcome", stage.name()));
        }
    }

    private void logDecision(VersionPolicy.Rollout rollout, String outcome) {
        log.stateChange(
                "rollout_verdict", line -> line.with("service", rollout.order().service())
                        .with("target", rollout.order().target())
                        .with("order_revision", rollout.orderRevision().number())
                        .with("era", rollout.orderRevision().era())
                        .with("target_answers", rollout.target().answers())
                        .with("target_bad", rollout.target().failed())
                        .with("before_answers", rollout.previous().answers())
                        .with("before_bad", rollout.previous().failed())
                        .with("target_speed", rollout.target().speeds().toString())
                        .with("before_speed", rollout.previous().speeds().toString())
                        .with("target_responses", rollout.target().overdue().responses())
                        .with("target_overdue", rollout.target().overdue().overdue())
                        .with("target_stalled", rollout.target().overdue().stalled())
                        .with("before_responses", rollout.previous().overdue().responses())
                        .with("before_overdue", rollout.previous().overdue().overdue())
                        .with("before_stalled", rollout.previous().overdue().stalled())
                        .with("outcome", outcome));
    }

    private void writeState(VersionPolicy policy, VersionPolicy.Rollout rollout, RolloutState.Phase phase) {
        String service = rollout.order().service();
        long now = loop.nowMillis();
        String key = formats.rolloutStatePrefix() + service;
        String purpose = rollout.orderRevision() + " " + phase;
        if (nextStateWriteMillis.getOrDefault(service, 0L) > now
                || !isWriteDue(key, purpose)
                || !pendingStateWrites.add(service)) {
            return;
        }
        RolloutState state = new RolloutState(service, rollout.order().target(), phase);
        Futures.onComplete(
                store.putIfRevision(
                        key, formats.writeRolloutState(state), policy.stateKeyRevision(), OptionalLong.empty()),
                (outcome, failure) -> {
                    pendingStateWrites.remove(service);
                    nextStateWriteMillis.put(service, loop.nowMillis() + TICK_MILLIS);
                    if (outcome instanceof WriteOutcome.Applied applied) {
                        versions.onState(state, applied.revision());
                        logDecision(rollout, "written_" + phase);
                    } else {
                        logNotWritten("rollout_state", service, reasonOf(outcome, failure));
                        readState(key, service);
                    }
                });
    }

    private boolean isWriteDue(String key, String purpose) {
        long now = loop.nowMillis();
        ScheduledWrite turn = scheduledWrites.get(key);
        if (turn == null || !turn.purpose().equals(purpose)) {
            turn = new ScheduledWrite(purpose, now + writeTurns.delayMillis(key + ' ' + purpose));
            scheduledWrites.put(key, turn);
            loop.schedule(turn.dueMillis() - now, this::tick);
        }
        return now >= turn.dueMillis();
    }

    /**
     * A write to a key that is due after a random delay, unless another host has made it by then.
     *
     * @param purpose identifies the value to write; another purpose gets a new delay
     */
    private record ScheduledWrite(String purpose, long dueMillis) {}

    private static String reasonOf(WriteOutcome outcome, Throwable failure) {
        return failure == null ? String.valueOf(outcome) : String.valueOf(failure.getMessage());
    }

    private void logNotWritten(String subject, String service, String reason) {
        log.stateChange(
                subject,
                line -> line.with("service", service).with("reason", reason).with("outcome", "not_written"));
    }

    private void readState(String key, String service) {
        Futures.onComplete(store.get(key), (value, failure) -> {
            if (failure != null) {
                log.stateChange("rollout_state", line -> line.with("service", service)
                        .with("reason", String.valueOf(failure.getMessage()))
                        .with("outcome", "not_read_back"));
                return;
            }
            value.ifPresent(stored -> {
                try {
                    versions.onState(formats.readRolloutState(service, stored.value()), stored.revision());
                } catch (UnreadableValueException exception) {
                    log.stateChange("rollout_state", line -> line.with("service", service)
                            .with("reason", exception.getMessage())
                            .with("outcome", "unreadable"));
                }
            });
        });
    }
}
