package io.heatherloft.router.fleet;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.route.CrashRecord;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.WriteOutcome;
import io.heatherloft.router.log.DecisionLog;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.IntSupplier;

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
    // Hosts wait for a random time, of up to this value per known host, so that few of them write the same record.
    private static final int WRITE_JITTER_MILLIS_PER_HOST = 8;
    private static final long RETRY_MILLIS = 5_000L;

    private final Loop loop;
    private final KeyValueStore store;
    private final StoredFormats formats;
    private final CrashingPrompts crashingPrompts;
    private final DecisionLog log;
    private final IntSupplier hostCount;
    private final Random random;
    private Loop.Cancellation tickTimer = () -> {};
    private boolean pending;

    /**
     * Creates a recorder that is idle until {@link #start}.
     *
     * @param hostCount supplies the number of known hosts, including this one
     */
    public CrashRecorder(
            Loop loop,
            KeyValueStore store,
            StoredFormats formats,
            CrashingPrompts crashingPrompts,
            DecisionLog log,
            IntSupplier hostCount,
            Random random) {
        this.loop = loop;
        this.store = store;
        this.formats = formats;
        this.crashingPrompts = crashingPrompts;
        this.log = log;
        this.hostCount = hostCount;
        this.random = random;
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
        if (!pending && crashingPrompts.unrecorded().isPresent()) {
            pending = true;
            int jitterMillis = WRITE_JITTER_MILLIS_PER_HOST * hostCount.getAsInt();
            loop.schedule(random.nextInt(jitterMillis), this::writeNext);
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
