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
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Judges the versions of roll-outs and writes the states that operators read.
 *
 * <p>Every host does this; the revision that each write expects lets one of them win. Invariant: a final state is never
 * replaced by this host for the same order. Confined to the loop's thread.
 */
public final class RolloutDriver {
    private static final long TICK_MILLIS = 200L;
    // Hosts that want to write the same thing wait for a random part of this for each host: the first one's write then
    // reaches most of the others, at some 30 ms, before their turn.
    private static final int TURN_MILLIS_PER_HOST = 8;

    private final Loop loop;
    private final KeyValueStore store;
    private final StoredFormats formats;
    private final VersionPolicies versions;
    private final DecisionLog log;
    private final IntSupplier hostCount;
    private final Random random;
    private final Map<String, Turn> turns = new HashMap<>();
    private final Set<String> writing = new HashSet<>();
    private final Set<String> recording = new HashSet<>();
    private final Map<String, Long> pauseUntilMillis = new HashMap<>();
    private Loop.Cancellation ticking = () -> {};

    /**
     * Creates a driver that does nothing before {@link #start}.
     *
     * @param hostCount hosts that drive the same roll-outs, as far as known
     */
    public RolloutDriver(
            Loop loop,
            KeyValueStore store,
            StoredFormats formats,
            VersionPolicies versions,
            DecisionLog log,
            IntSupplier hostCount,
            Random random) {
        this.loop = loop;
        this.store = store;
        this.formats = formats;
        this.versions = versions;
        this.log = log;
        this.hostCount = hostCount;
        this.random = random;
    }

    /** Starts to drive roll-outs. */
    public void start() {
        ticking = loop.repeat(TICK_MILLIS, this::tick);
    }

    /** Stops. */
    public void stop() {
        ticking.cancel();
    }

    private void tick() {
        versions.all().forEach(policy -> policy.rollout().ifPresent(rollout -> drive(policy, rollout)));
    }

    private void drive(VersionPolicy policy, VersionPolicy.Rollout rollout) {
        recordProgress(policy, rollout);
        long elapsed = rollout.plannedMillis(loop.nowMillis());
        long duration = rollout.order().durationMillis();
        if (rollout.decided().isEmpty() && rollout.target().isWorseThan(rollout.before())) {
            policy.decide(RolloutState.Phase.REVERTED);
            logDecision(rollout, "reverted");
        }
        RolloutState.Phase wanted = rollout.decided()
                .orElseGet(() -> RolloutPlan.isCompletionDue(elapsed, duration)
                        ? RolloutState.Phase.COMPLETED
                        : RolloutState.Phase.RUNNING);
        boolean written = rollout.statePhase()
                .map(phase -> phase.isFinal() || phase == wanted)
                .orElse(false);
        if (!written) {
            write(policy, rollout, wanted);
        }
    }

    private void recordProgress(VersionPolicy policy, VersionPolicy.Rollout rollout) {
        String service = rollout.order().service();
        long elapsed = rollout.elapsedMillis(loop.nowMillis());
        boolean needed = rollout.decided().isEmpty()
                && RolloutPlan.needsRecord(
                        elapsed, rollout.recordedMillis(), rollout.order().durationMillis());
        String key = formats.rolloutProgressPrefix() + service;
        if (!needed || !isTurn(key, String.valueOf(policy.progressKeyRevision())) || !recording.add(service)) {
            return;
        }
        RolloutProgress progress = new RolloutProgress(rollout.orderRevision(), elapsed);
        Futures.onComplete(
                store.putIfRevision(
                        key, Bytes.ofText(progress.toText()), policy.progressKeyRevision(), OptionalLong.empty()),
                (outcome, failure) -> {
                    // A host that lost the race learns the other's record from its watch; the pause lets it arrive.
                    loop.schedule(TICK_MILLIS, () -> recording.remove(service));
                    if (outcome instanceof WriteOutcome.Applied applied) {
                        versions.onProgress(service, progress, applied.revision());
                    } else {
                        logUnwritten("rollout_progress", service, reasonOf(outcome, failure));
                    }
                });
    }

    private void logDecision(VersionPolicy.Rollout rollout, String outcome) {
        log.belief(
                "rollout_verdict", line -> line.with("service", rollout.order().service())
                        .with("target", rollout.order().target())
                        .with("order_revision", rollout.orderRevision())
                        .with("target_answers", rollout.target().answers())
                        .with("target_bad", rollout.target().failed())
                        .with("before_answers", rollout.before().answers())
                        .with("before_bad", rollout.before().failed())
                        .with("target_speed", rollout.target().speeds().toString())
                        .with("before_speed", rollout.before().speeds().toString())
                        .with("outcome", outcome));
    }

    private void write(VersionPolicy policy, VersionPolicy.Rollout rollout, RolloutState.Phase phase) {
        String service = rollout.order().service();
        long now = loop.nowMillis();
        String key = formats.rolloutStatePrefix() + service;
        String purpose = rollout.orderRevision() + phase.name();
        if (pauseUntilMillis.getOrDefault(service, 0L) > now || !isTurn(key, purpose) || !writing.add(service)) {
            return;
        }
        RolloutState state = new RolloutState(service, rollout.order().target(), phase);
        long expected = policy.stateKeyRevision().orElse(KeyValueStore.ABSENT);
        Futures.onComplete(
                store.putIfRevision(key, formats.writeRolloutState(state), expected, OptionalLong.empty()),
                (outcome, failure) -> {
                    writing.remove(service);
                    pauseUntilMillis.put(service, loop.nowMillis() + TICK_MILLIS);
                    if (outcome instanceof WriteOutcome.Applied applied) {
                        versions.onState(state, applied.revision());
                        logDecision(rollout, "written_" + phase);
                    } else {
                        logUnwritten("rollout_state", service, reasonOf(outcome, failure));
                        readBack(key, service);
                    }
                });
    }

    private boolean isTurn(String key, String purpose) {
        long now = loop.nowMillis();
        Turn turn = turns.get(key);
        if (turn == null || !turn.purpose().equals(purpose)) {
            int spreadMillis = TURN_MILLIS_PER_HOST * (hostCount.getAsInt() - 1);
            turn = new Turn(purpose, now + (spreadMillis > 0 ? random.nextInt(spreadMillis) : 0));
            turns.put(key, turn);
            loop.schedule(turn.atMillis() - now, this::tick);
        }
        return now >= turn.atMillis();
    }

    /** When this host may write a key, unless another host has done so by then. */
    private record Turn(String purpose, long atMillis) {}

    private static String reasonOf(WriteOutcome outcome, Throwable failure) {
        return failure == null ? String.valueOf(outcome) : String.valueOf(failure.getMessage());
    }

    private void logUnwritten(String subject, String service, String reason) {
        log.belief(
                subject,
                line -> line.with("service", service).with("reason", reason).with("outcome", "not_written"));
    }

    private void readBack(String key, String service) {
        Futures.onComplete(store.get(key), (value, failure) -> {
            if (failure != null) {
                log.belief("rollout_state", line -> line.with("service", service)
                        .with("reason", String.valueOf(failure.getMessage()))
                        .with("outcome", "not_read_back"));
                return;
            }
            value.ifPresent(found -> {
                try {
                    versions.onState(formats.readRolloutState(service, found.value()), found.revision());
                } catch (UnreadableValueException exception) {
                    log.belief("rollout_state", line -> line.with("service", service)
                            .with("reason", exception.getMessage())
                            .with("outcome", "unreadable"));
                }
            });
        });
    }
}
