package io.heatherloft.router.fleet;

import io.heatherloft.domain.Bytes;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The newest value, or deletion, of each key of one prefix of the store, for hosts that know less.
 *
 * <p>Invariants: of two changes of a key the one with the higher revision stays; every change up to
 * {@link #knownRevision} was seen; deletions are kept until there are more than {@link #MAX_TOMBSTONES}, after which hosts
 * that are behind the newest one dropped need a snapshot. Confined to the loop's thread.
 */
public final class PrefixReplica {
    /** Deletions kept; some minutes of changes when a service's servers are replaced one after the other. */
    public static final int MAX_TOMBSTONES = 1_024;

    private final String prefix;
    private final Map<String, Change> changes = new HashMap<>();
    private long knownRevision;
    private long tombstonesDroppedUpTo;
    private int tombstones;

    /** Creates an empty collection for a prefix. */
    public PrefixReplica(String prefix) {
        this.prefix = prefix;
    }

    /**
     * A change of a key.
     *
     * @param value empty if the key was deleted
     */
    public record Change(String key, long revision, Optional<Bytes> value) {}

    /** Returns the prefix. */
    public String prefix() {
        return prefix;
    }

    /** Takes a change; returns false if it was known or has been overtaken. */
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

    /** Every change up to a revision has been seen. */
    public void advanceTo(long revision) {
        knownRevision = Math.max(knownRevision, revision);
    }

    /** Returns the revision up to which every change was seen. */
    public long knownRevision() {
        return knownRevision;
    }

    /** Returns true if a host that knows all changes up to a revision cannot be brought up to date by later ones. */
    public boolean needsSnapshot(long revision) {
        return revision < tombstonesDroppedUpTo;
    }

    /** Returns the changes after a revision, in order. */
    public List<Change> changesAfter(long revision) {
        return changes.values().stream()
                .filter(change -> change.revision() > revision)
                .sorted(Comparator.comparingLong(Change::revision))
                .toList();
    }

    /** Returns the keys that exist, with their values. */
    public List<Change> liveEntries() {
        return changes.values().stream()
                .filter(change -> change.value().isPresent())
                .toList();
    }

    /** Returns the keys that exist and are not among those listed. */
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
