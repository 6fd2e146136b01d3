package io.heatherloft.ports.store;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Performs conditional writes; if the outcome of a write is unknown, reads the key back and retries with exponential
 * backoff.
 *
 * <p>Each value must be unique to its writer, so that a value read back identifies its writer. Invariant: the outcome
 * is {@link WriteOutcome.Applied} only if the store confirmed the write or was seen to hold the value, and {@link
 * WriteOutcome.Conflict} only if another writer changed the key; if the last attempt is inconclusive, it is {@link
 * WriteOutcome.Unknown}. Confined to the event loop thread.
 */
public final class RetryingWriter {
    private static final long FIRST_BACKOFF_MILLIS = 20L;
    private static final int MAX_ATTEMPTS = 6;

    private final KeyValueStore store;
    private final Loop loop;

    public RetryingWriter(KeyValueStore store, Loop loop) {
        this.store = store;
        this.loop = loop;
    }

    /**
     * Writes a key if its revision is {@code expectedRevision}, or {@link KeyValueStore#ABSENT} and it does not exist.
     */
    public CompletableFuture<WriteOutcome> put(
            String key, Bytes value, StoreRevision expectedRevision, OptionalLong leaseId) {
        PendingWrite pendingWrite = new PendingWrite(key, value, expectedRevision, leaseId);
        CompletableFuture<WriteOutcome> result = new CompletableFuture<>();
        write(pendingWrite, 1, false, result);
        return result;
    }

    private void write(
            PendingWrite pendingWrite,
            int attemptNumber,
            boolean earlierOutcomeUnknown,
            CompletableFuture<WriteOutcome> result) {
        Futures.onResult(
                store.putIfRevision(
                        pendingWrite.key(),
                        pendingWrite.value(),
                        pendingWrite.expectedRevision(),
                        pendingWrite.leaseId()),
                outcome -> {
                    if (outcome instanceof WriteOutcome.Unknown unknown) {
                        readBack(pendingWrite, attemptNumber, unknown, result);
                    } else if (earlierOutcomeUnknown && !(outcome instanceof WriteOutcome.Applied)) {
                        readBack(
                                pendingWrite,
                                attemptNumber,
                                new WriteOutcome.Unknown("outcome of an earlier attempt is unknown"),
                                result);
                    } else {
                        result.complete(outcome);
                    }
                });
    }

    private void readBack(
            PendingWrite pendingWrite,
            int attemptNumber,
            WriteOutcome.Unknown unknown,
            CompletableFuture<WriteOutcome> result) {
        Futures.onComplete(store.get(pendingWrite.key()), (value, failure) -> {
            if (failure == null && hasRevisionChanged(pendingWrite, value)) {
                result.complete(outcomeOf(pendingWrite, value));
            } else if (attemptNumber >= MAX_ATTEMPTS) {
                result.complete(unknown);
            } else {
                loop.schedule(
                        FIRST_BACKOFF_MILLIS << (attemptNumber - 1),
                        () -> write(pendingWrite, attemptNumber + 1, true, result));
            }
        });
    }

    private static boolean hasRevisionChanged(PendingWrite pendingWrite, Optional<StoreValue> found) {
        return !found.map(StoreValue::revision).orElse(KeyValueStore.ABSENT).equals(pendingWrite.expectedRevision());
    }

    private static WriteOutcome outcomeOf(PendingWrite pendingWrite, Optional<StoreValue> found) {
        return found.filter(value -> value.value().equals(pendingWrite.value()))
                .<WriteOutcome>map(value -> new WriteOutcome.Applied(value.revision()))
                .orElseGet(WriteOutcome.Conflict::new);
    }

    private record PendingWrite(String key, Bytes value, StoreRevision expectedRevision, OptionalLong leaseId) {}
}
