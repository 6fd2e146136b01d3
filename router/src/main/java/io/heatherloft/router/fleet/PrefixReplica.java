package io.heatherloft.router.fleet;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Local replica of one key prefix of the store, from which hosts that are behind can catch up.
 *
 * <p>Holds the newest change of each key in the store's current era and is complete up to {@link #knownRevision}.
 * Deletions are kept as tombstones, at most {@link #MAX_TOMBSTONES}; a host whose revision is older than that of the
 * newest dropped tombstone needs a snapshot. When a new era begins, the changes of the era before become <em>earlier</em>
 * changes, which are kept until the caller drops them. Confined to the loop's thread.
 */
public final class PrefixReplica {
    /** Covers some minutes of deletions while the servers of a service are replaced one by one. */
    public static final int MAX_TOMBSTONES = 1_024;

    private final String prefix;
    private final Map<String, Change> changes = new HashMap<>();
    private final Map<String, Change> earlierChanges = new HashMap<>();
    private StoreRevision knownRevision = StoreRevision.NONE;
    private StoreRevision tombstonesDroppedUpTo = StoreRevision.NONE;
    private int tombstones;

    /** Creates an empty replica. */
    public PrefixReplica(String prefix) {
        this.prefix = prefix;
    }

    /**
     * A change of a key.
     *
     * @param value value that was written; for a deletion, the value before it, if it is known
     */
    public record Change(String key, StoreRevision revision, Optional<Bytes> value, boolean deleted) {
        /** Returns a write of a value. */
        public static Change put(String key, StoreRevision revision, Bytes value) {
            return new Change(key, revision, Optional.of(value), false);
        }

        /** Returns a deletion. */
        public static Change deletion(String key, StoreRevision revision, Optional<Bytes> valueBefore) {
            return new Change(key, revision, valueBefore, true);
        }

        /** Returns true if the key holds the same as after another change. */
        boolean hasSameResult(Change other) {
            return deleted == other.deleted && (deleted || value.equals(other.value));
        }
    }

    public String prefix() {
        return prefix;
    }

    /** Returns the era of the store to which the replica belongs. */
    public long era() {
        return knownRevision.era();
    }

    /** Starts anew in a later era. The changes known so far become earlier changes, unless one is known for the key. */
    void beginEra(long era) {
        changes.forEach(earlierChanges::putIfAbsent);
        changes.clear();
        tombstones = 0;
        knownRevision = new StoreRevision(era, 0);
        tombstonesDroppedUpTo = knownRevision;
    }

    /** Applies a change; returns false if it is of another era, or if the same or a newer change of the key is known. */
    public boolean apply(Change change) {
        Change known = changes.get(change.key());
        if (change.revision().era() != era()
                || (known != null && !change.revision().isAfter(known.revision()))) {
            return false;
        }
        changes.put(change.key(), change);
        tombstones += (change.deleted() ? 1 : 0) - (known != null && known.deleted() ? 1 : 0);
        if (tombstones > MAX_TOMBSTONES) {
            dropOldestTombstone();
        }
        return true;
    }

    /** Returns the newest change of a key in the current era. */
    public Optional<Change> find(String key) {
        return Optional.ofNullable(changes.get(key));
    }

    /** Records that every change up to a revision of the current era has been applied. */
    public void advanceTo(StoreRevision revision) {
        if (revision.era() == era()) {
            knownRevision = StoreRevision.max(knownRevision, revision);
        }
    }

    /** Returns the revision up to which every change has been applied. */
    public StoreRevision knownRevision() {
        return knownRevision;
    }

    /** Returns true if a host at a revision may have missed a dropped tombstone, so that changes alone do not suffice. */
    public boolean needsSnapshot(StoreRevision revision) {
        return tombstonesDroppedUpTo.isAfter(revision);
    }

    /** Returns the changes after a revision, in the order of their revisions. */
    public List<Change> changesAfter(StoreRevision revision) {
        return changes.values().stream()
                .filter(change -> change.revision().isAfter(revision))
                .sorted(Comparator.comparing(Change::revision))
                .toList();
    }

    /** Returns the entries that exist, without the tombstones. */
    public List<Change> liveEntries() {
        return changes.values().stream().filter(change -> !change.deleted()).toList();
    }

    /** Returns the existing keys that are not in a set. */
    public List<String> liveKeysExcept(Set<String> listed) {
        return liveEntries().stream()
                .map(Change::key)
                .filter(key -> !listed.contains(key))
                .toList();
    }

    /** Returns the changes of earlier eras that have not been dropped. */
    Collection<Change> earlierChanges() {
        return List.copyOf(earlierChanges.values());
    }

    /** Returns the earlier change of a key. */
    Optional<Change> findEarlier(String key) {
        return Optional.ofNullable(earlierChanges.get(key));
    }

    /** Adds a change of an earlier era; returns false if it is not earlier, or not newer than the known one. */
    boolean addEarlier(Change change) {
        Change known = earlierChanges.get(change.key());
        boolean added = change.revision().era() < era()
                && (known == null || change.revision().isAfter(known.revision()));
        if (added) {
            earlierChanges.put(change.key(), change);
        }
        return added;
    }

    /** Drops the earlier change of a key. */
    void dropEarlier(String key) {
        earlierChanges.remove(key);
    }

    private void dropOldestTombstone() {
        changes.values().stream()
                .filter(Change::deleted)
                .min(Comparator.comparing(Change::revision))
                .ifPresent(oldest -> {
                    tombstonesDroppedUpTo = StoreRevision.max(tombstonesDroppedUpTo, oldest.revision());
                    changes.remove(oldest.key());
                    tombstones--;
                });
    }
}
