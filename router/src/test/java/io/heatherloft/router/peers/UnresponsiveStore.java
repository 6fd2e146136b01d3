package io.heatherloft.router.peers;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.ports.store.StoreValue;
import io.heatherloft.ports.store.WriteOutcome;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** A store that never responds. */
final class UnresponsiveStore implements KeyValueStore {
    @Override
    public CompletableFuture<Optional<StoreValue>> get(String _key) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Listing> list(String _prefix) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<WriteOutcome> putIfRevision(
            String _key, Bytes _value, StoreRevision _expectedRevision, OptionalLong _leaseId) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<WriteOutcome> deleteIfRevision(String _key, StoreRevision _expectedRevision) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Long> grantLease(long _ttlMillis) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Boolean> keepLeaseAlive(long _leaseId) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> revokeLease(long _leaseId) {
        return new CompletableFuture<>();
    }

    @Override
    public Watch watch(String _prefix, StoreRevision _after, WatchListener _listener) {
        return () -> {};
    }
}
