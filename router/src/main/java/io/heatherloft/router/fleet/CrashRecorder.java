package io.heatherloft.router.fleet;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.route.CrashRecord;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.WriteOutcome;
import io.heatherloft.router.log.DecisionLog;
import java.util.OptionalLong;

/**
 * Records in the store which prompt parts are blocked, so that the fleet knows them after all of its hosts have
 * restarted.
 *
 * <p>Every host runs this recorder; the first one to create a record wins. Records end with their leases. Confined to
 * the loop's thread.
 */
public final class CrashRecorder {
    private static final long TICK_MILLIS = 500L;
    private static final long RECORD_TTL_MILLIS = 600_000L;
    private static final long RETRY_MILLIS = 5_000L;

    private final Loop loop;
    private final KeyValueStore store;
    private final StoredFormats formats;
    private final CrashingPrompts crashingPrompts;
    private final DecisionLog log;
    private final WriteTurns writeTurns;
    private Loop.Cancellation tickTimer = () -> {};
    private boolean pending;

    /**
     * Creates a recorder that is idle until {@link #start}.
     *
     * @param writeTurns tells when this host may write what all hosts are about to write
     */
    public CrashRecorder(
            Loop loop,
            KeyValueStore store,
            StoredFormats formats,
            CrashingPrompts crashingPrompts,
            DecisionLog log,
            WriteTurns writeTurns) {
        this.loop = loop;
        this.store = store;
        this.formats = formats;
        this.crashingPrompts = crashingPrompts;
        this.log = log;
        this.writeTurns = writeTurns;
    }

    /** Starts to look for parts that are blocked and not recorded. */
    public void start() {
        tickTimer = loop.repeat(TICK_MILLIS, this::tick);
    }

    /** Stops. */
    public void stop() {
        tickTimer.cancel();
    }

    private void tick() {
        if (!pending) {
            crashingPrompts.unrecorded().ifPresent(crashRecord -> {
                pending = true;
                loop.schedule(writeTurns.delayMillis(crashRecord.name()), this::writeNext);
            });
        }
    }

    private void writeNext() {
        crashingPrompts.unrecorded().ifPresentOrElse(this::write, () -> pending = false);
    }

    private void write(CrashRecord crashRecord) {
        String key = formats.crashRecordPrefix() + crashRecord.name();
        Futures.onComplete(
                store.grantLease(RECORD_TTL_MILLIS)
                        .thenCompose(lease -> store.putIfRevision(
                                key, Bytes.ofText(crashRecord.toText()), KeyValueStore.ABSENT, OptionalLong.of(lease))),
                (outcome, failure) -> {
                    boolean written = outcome instanceof WriteOutcome.Applied;
                    if (written) {
                        crashingPrompts.onRecord(crashRecord);
                    }
                    // A host that lost the race receives the winner's record from its watch before it tries again.
                    loop.schedule(written ? 0 : RETRY_MILLIS, () -> pending = false);
                    log.stateChange("crash_record", line -> line.with("parts", crashRecord.name())
                            .with("reason", failure == null ? String.valueOf(outcome) : String.valueOf(failure))
                            .with("outcome", written ? "written" : "not_written"));
                });
    }
}
