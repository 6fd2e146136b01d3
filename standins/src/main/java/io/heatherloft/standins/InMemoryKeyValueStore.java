package io.heatherloft.standins;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.ports.store.StoreValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * In-memory key-value store with revisions, leases and watches, independent of any transport.
 *
 * <p>Invariant: every successful write increments the revision by one. Confined to one thread.
 */
public final class InMemoryKeyValueStore {
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<StoreValue> history = new ArrayList<>();
    private final Set<Watcher> watchers = new LinkedHashSet<>();
    private long revision = 1;
    private long lastLeaseId;

    /** Returns the revision of the last successful write. */
    public long revision() {
        return revision;
    }

    public Optional<StoreValue> get(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> toStoreValue(key, entry));
    }

    /** Reads the keys from {@code from} (inclusive) to {@code end} (exclusive). */
    public List<StoreValue> range(String from, String end) {
        return entries.subMap(from, end).entrySet().stream()
                .map(entry -> toStoreValue(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Writes a key if its revision equals the expected one (0: absent) and the lease exists; returns true if written. */
    public boolean put(String key, Bytes value, long expectedRevision, OptionalLong lease) {
        if (revisionOf(key) != expectedRevision || (lease.isPresent() && !leases.containsKey(lease.getAsLong()))) {
            return false;
        }
        revision++;
        Entry entry = new Entry(value, revision, lease);
        entries.put(key, entry);
        StoreValue written = toStoreValue(key, entry);
        history.add(written);
        List.copyOf(watchers).stream()
                .filter(watcher -> key.compareTo(watcher.from()) >= 0 && key.compareTo(watcher.end()) < 0)
                .forEach(watcher -> watcher.listener().accept(written));
        return true;
    }

    /** Deletes a key if it exists with the expected revision; returns true if deleted. */
    public boolean delete(String key, long expectedRevision) {
        if (revisionOf(key) != expectedRevision || expectedRevision == 0) {
            return false;
        }
        revision++;
        entries.remove(key);
        return true;
    }

    /** Grants a lease and returns its id. */
    public long grantLease(long nowMillis, long ttlMillis) {
        lastLeaseId++;
        leases.put(lastLeaseId, new Lease(nowMillis + ttlMillis, ttlMillis));
        return lastLeaseId;
    }

    /** Renews a lease; returns its time to live, or 0 if it does not exist any more. */
    public long keepAlive(long lease, long nowMillis) {
        Lease renewed = leases.computeIfPresent(
                lease, (_id, known) -> new Lease(nowMillis + known.ttlMillis(), known.ttlMillis()));
        return renewed == null ? 0 : renewed.ttlMillis();
    }

    /** Revokes a lease and deletes the keys attached to it. */
    public void revoke(long lease) {
        leases.remove(lease);
        List<String> owned = entries.entrySet().stream()
                .filter(entry -> entry.getValue().lease().equals(OptionalLong.of(lease)))
                .map(Map.Entry::getKey)
                .toList();
        owned.forEach(key -> delete(key, revisionOf(key)));
    }

    /** Revokes the leases that have expired. */
    public void expireLeases(long nowMillis) {
        leases.entrySet().stream()
                .filter(entry -> entry.getValue().expiresAtMillis() <= nowMillis)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::revoke);
    }

    /** Notifies a listener of writes to keys in a range, starting at a revision; running the result stops it. */
    public Runnable watch(String from, String end, long fromRevision, Consumer<StoreValue> listener) {
        Watcher watcher = new Watcher(from, end, listener);
        history.stream()
                .filter(value -> value.revision().number() >= fromRevision)
                .filter(value -> value.key().compareTo(from) >= 0 && value.key().compareTo(end) < 0)
                .toList()
                .forEach(listener);
        watchers.add(watcher);
        return () -> watchers.remove(watcher);
    }

    /** Returns the number of keys. */
    public int size() {
        return entries.size();
    }

    private long revisionOf(String key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::revision).orElse(0L);
    }

    private static StoreValue toStoreValue(String key, Entry entry) {
        return new StoreValue(key, entry.value(), StoreRevision.ofFirstEra(entry.revision()));
    }

    private record Entry(Bytes value, long revision, OptionalLong lease) {}

    private record Lease(long expiresAtMillis, long ttlMillis) {}

    private record Watcher(String from, String end, Consumer<StoreValue> listener) {}
}
