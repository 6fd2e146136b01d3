package io.heatherloft.ports.store;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service, which holds all state that must survive the loss of a host.
 *
 * <p>Futures of reads and lease calls fail with {@link StoreUnavailableException} if the service does not respond;
 * those of writes always complete with a {@link WriteOutcome}. Futures complete on the event loop thread, to which the
 * methods are also confined.
 */
public interface KeyValueStore {
    /** Expected revision of a key that does not exist. */
    StoreRevision ABSENT = StoreRevision.NONE;

    /** Maximum size of a value. */
    int MAX_VALUE_BYTES = 1_048_576;

    /** Reads a key; the result is empty if the key does not exist. */
    CompletableFuture<Optional<StoreValue>> get(String key);

    /** Reads all keys that start with {@code prefix}. */
    CompletableFuture<Listing> list(String prefix);

    /** Writes a key if its revision is the expected one, or {@link #ABSENT} and the key does not exist. */
    CompletableFuture<WriteOutcome> putIfRevision(
            String key, Bytes value, StoreRevision expectedRevision, OptionalLong leaseId);

    /** Deletes a key if its revision is the expected one. */
    CompletableFuture<WriteOutcome> deleteIfRevision(String key, StoreRevision expectedRevision);

    /** Grants a lease and returns its ID. Keys written with the lease are deleted when it expires. */
    CompletableFuture<Long> grantLease(long ttlMillis);

    /** Renews a lease; the result is false if the lease has expired. */
    CompletableFuture<Boolean> keepLeaseAlive(long leaseId);

    /** Revokes a lease and deletes its keys. */
    CompletableFuture<Void> revokeLease(long leaseId);

    /** Reports the changes after a revision of the keys that start with {@code prefix}. */
    Watch watch(String prefix, StoreRevision after, WatchListener listener);

    /** A consistent snapshot of keys and values at one revision of the store. */
    record Listing(List<StoreValue> values, StoreRevision revision) {}

    /** An active watch. */
    @FunctionalInterface
    interface Watch {
        /** Stops the watch; the listener is not called afterwards. */
        void close();
    }

    /** Receives the changes that a watch reports. */
    interface WatchListener {
        /** Called when a key is written. */
        void onPut(StoreValue value);

        /** Called when a key is deleted or its lease expires. */
        default void onDelete(String _key, StoreRevision _revision) {}

        /** Called when all changes up to a revision have been reported. */
        default void onProgress(StoreRevision _revision) {}

        /** Called when the watch ends. It must be opened again from the last revision seen. */
        void onEnd(String reason);

        /** Called when the watch ends because the changes since the last revision seen are lost or cannot be read. */
        default void onHistoryLost() {
            onEnd("the store has discarded the requested revisions");
        }
    }
}
