package io.heatherloft.router.fleet;

import io.heatherloft.domain.Bytes;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Local replica of one key prefix of the store, from which hosts that are behind can catch up.
 *
 * <p>Holds the newest change of each key and is complete up to {@link #knownRevision}. Deletions are kept as tombstones,
 * at most {@link #MAX_TOMBSTONES}; a host whose revision is older than that of the newest dropped tombstone needs a
 * snapshot. Confined to the loop's thread.
 */
public final class PrefixReplica {
    /** Covers some minutes of deletions while the servers of a service are replaced one by one. */
    public static final int MAX_TOMBSTONES = 1_024;

    private final String prefix;
    private final Map<String, Change> changes = new HashMap<>();
    private long knownRevision;
    private long tombstonesDroppedUpTo;
    private int tombstones;

    /** Creates an empty replica. */
    public PrefixReplica(String prefix) {
        this.prefix = prefix;
    }

    /**
     * A change of a key.
     *
     * @param value empty if the key was deleted
     */
    public record Change(String key, long revision, Optional<Bytes> value) {}

    public String prefix() {
        return prefix;
    }

    /** Applies a change; returns false if the same or a newer change of the key is known. */
    public boolean apply(Change change) {
        Change known = changes.get(change.key());
        if (known != null && known.revision() >= change.revision()) {
            return false;
        }
        changes.put(change.key(), change);
        tombstones += (change.value().isEmpty() ? 1 : 0)
                - (known != null && known.value().isEmpty() ? 1 : 0);
        if (tombstones > MAX_TOMBSTONES) {
            dropOldestTombstone();
        }
        return true;
    }

    /** Returns the newest known change of a key. */
    public Optional<Change> find(String key) {
        return Optional.ofNullable(changes.get(key));
    }

    /** Records that every change up to a revision has been applied. */
    public void advanceTo(long revision) {
        knownRevision = Math.max(knownRevision, revision);
    }

    /** Returns the revision up to which every change has been applied. */
    public long knownRevision() {
        return knownRevision;
    }

    /** Returns true if a host at a revision may have missed a dropped tombstone, so that changes alone do not suffice. */
    public boolean needsSnapshot(long revision) {
        return revision < tombstonesDroppedUpTo;
    }

    /** Returns the changes after a revision, in the order of their revisions. */
    public List<Change> changesAfter(long revision) {
        return changes.values().stream()
                .filter(change -> change.revision() > revision)
                .sorted(Comparator.comparingLong(Change::revision))
                .toList();
    }

    /** Returns the entries that exist, without the tombstones. */
    public List<Change> liveEntries() {
        return changes.values().stream()
                .filter(change -> change.value().isPresent())
                .toList();
    }

    /** Returns the existing keys that are not in a set. */
    public List<String> liveKeysExcept(Set<String> listed) {
        return liveEntries().stream()
                .map(Change::key)
                .filter(key -> !listed.contains(key))
                .toList();
    }

    private void dropOldestTombstone() {
        changes.values().stream()
                .filter(change -> change.value().isEmpty())
                .min(Comparator.comparingLong(Change::revision))
                .ifPresent(oldest -> {
                    tombstonesDroppedUpTo = Math.max(tombstonesDroppedUpTo, oldest.revision());
                    changes.remove(oldest.key());
                    tombstones--;
                });
    }
}
