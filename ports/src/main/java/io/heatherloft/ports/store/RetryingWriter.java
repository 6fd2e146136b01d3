package io.heatherloft.ports.store;

import io.heatherloft.domain.Bytes;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Settles writes of unknown outcome by reading back.
 *
 * <p>Relies on each value being unique to its writer, so that a value read back tells who wrote it. Invariant: reports
 * {@link WriteOutcome.Applied} only if the value was seen in the store, and {@link WriteOutcome.Conflict} only if
 * another value was; what stays open after the last attempt is {@link WriteOutcome.Unknown}. Confined to the loop's
 * thread.
 */
public final class RetryingWriter {
    private static final long FIRST_BACKOFF_MILLIS = 20L;
    private static final int MAX_ATTEMPTS = 6;

    private final KeyValueStore store;
    private final Loop loop;

    /** Creates a writer on a store. */
    public RetryingWriter(KeyValueStore store, Loop loop) {
        this.store = store;
        this.loop = loop;
    }

    /** Writes a key if its revision is the expected one. */
    public CompletableFuture<WriteOutcome> put(String key, Bytes value, long expectedRevision, OptionalLong leaseId) {
        PendingWrite attempt = new PendingWrite(key, value, expectedRevision, leaseId);
        CompletableFuture<WriteOutcome> result = new CompletableFuture<>();
        write(attempt, 1, false, result);
        return result;
    }

    private void write(PendingWrite attempt, int number, boolean doubtful, CompletableFuture<WriteOutcome> result) {
        Futures.onResult(
                store.putIfRevision(attempt.key(), attempt.value(), attempt.expectedRevision(), attempt.leaseId()),
                outcome -> {
                    if (outcome instanceof WriteOutcome.Unknown unknown) {
                        readBack(attempt, number, unknown, result);
                    } else if (doubtful && !(outcome instanceof WriteOutcome.Applied)) {
                        readBack(attempt, number, new WriteOutcome.Unknown("an earlier attempt is open"), result);
                    } else {
                        result.complete(outcome);
                    }
                });
    }

    private void readBack(
            PendingWrite attempt, int number, WriteOutcome.Unknown unknown, CompletableFuture<WriteOutcome> result) {
        Futures.onComplete(store.get(attempt.key()), (value, failure) -> {
            if (failure == null && hasRevisionChanged(attempt, value)) {
                result.complete(outcomeOf(attempt, value));
            } else if (number >= MAX_ATTEMPTS) {
                result.complete(unknown);
            } else {
                loop.schedule(FIRST_BACKOFF_MILLIS << (number - 1), () -> write(attempt, number + 1, true, result));
            }
        });
    }

    private static boolean hasRevisionChanged(PendingWrite attempt, Optional<StoreValue> found) {
        return found.map(StoreValue::revision).orElse(KeyValueStore.ABSENT) != attempt.expectedRevision();
    }

    private static WriteOutcome outcomeOf(PendingWrite attempt, Optional<StoreValue> found) {
        return found.filter(value -> value.value().equals(attempt.value()))
                .<WriteOutcome>map(value -> new WriteOutcome.Applied(value.revision()))
                .orElseGet(WriteOutcome.Conflict::new);
    }

    private record PendingWrite(String key, Bytes value, long expectedRevision, OptionalLong leaseId) {}
}
