package io.heatherloft.domain.ledger;

import it.unimi.dsi.fastutil.longs.Long2IntMap;
import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * Maps 64-bit hashes to small numbers and forgets them a fixed time after they were last put.
 *
 * <p>Entries are grouped in buckets by time and dropped a bucket at a time, so that expiry costs nothing per entry.
 * Invariant: an entry is kept at least the retention time and at most one bucket longer. Confined to one thread.
 */
public final class ExpiringHashMap {
    private static final int BUCKETS_PER_RETENTION = 8;
    private static final int ABSENT = -1;

    private final long retentionMillis;
    private final long bucketMillis;
    private final TreeMap<Long, Long2IntOpenHashMap> buckets = new TreeMap<>();

    /** Creates a map whose entries live {@code retentionMillis}. */
    public ExpiringHashMap(long retentionMillis) {
        this.retentionMillis = retentionMillis;
        this.bucketMillis = Math.max(1, retentionMillis / BUCKETS_PER_RETENTION);
    }

    /** Puts a non-negative value and starts its retention time anew. */
    public void put(long hash, int value, long atMillis) {
        bucketAt(atMillis).put(hash, value);
    }

    /** Returns the value put last under {@code hash}, if it is still kept. */
    public OptionalInt get(long hash) {
        return buckets.descendingMap().values().stream()
                .mapToInt(bucket -> bucket.get(hash))
                .filter(value -> value != ABSENT)
                .findFirst();
    }

    /** Returns the start of the bucket that holds {@code hash}, as a lower bound of the time it was put. */
    public long lastPutMillis(long hash) {
        return buckets.descendingMap().entrySet().stream()
                .filter(entry -> entry.getValue().containsKey(hash))
                .mapToLong(Map.Entry::getKey)
                .findFirst()
                .orElse(Long.MIN_VALUE);
    }

    /** Drops the buckets whose entries have all expired. */
    public void expire(long nowMillis) {
        buckets.headMap(nowMillis - retentionMillis - bucketMillis, false).clear();
    }

    /** Returns the number of entries, counting one put in two buckets twice. */
    public int size() {
        return buckets.values().stream().mapToInt(Long2IntMap::size).sum();
    }

    private Long2IntOpenHashMap bucketAt(long atMillis) {
        long start = Math.floorDiv(atMillis, bucketMillis) * bucketMillis;
        return buckets.computeIfAbsent(start, _key -> {
            Long2IntOpenHashMap bucket = new Long2IntOpenHashMap();
            bucket.defaultReturnValue(ABSENT);
            return bucket;
        });
    }
}
