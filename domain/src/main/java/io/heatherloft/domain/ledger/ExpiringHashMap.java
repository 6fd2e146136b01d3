package io.heatherloft.domain.ledger;

import it.unimi.dsi.fastutil.longs.Long2IntMap;
import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * A map from 64-bit hashes to non-negative integers whose entries expire a fixed time after the last put.
 *
 * <p>Entries are grouped into time buckets that are dropped as a whole, so that expiry needs no work per entry.
 * Invariant: an entry is kept for at least the retention time and at most one bucket longer. Confined to one thread.
 */
public final class ExpiringHashMap {
    private static final int BUCKETS_PER_RETENTION = 8;
    private static final int ABSENT = -1;

    private final long retentionMillis;
    private final long bucketMillis;
    private final TreeMap<Long, Long2IntOpenHashMap> buckets = new TreeMap<>();

    /** Creates a map whose entries are kept for {@code retentionMillis}. */
    public ExpiringHashMap(long retentionMillis) {
        this.retentionMillis = retentionMillis;
        this.bucketMillis = Math.max(1, retentionMillis / BUCKETS_PER_RETENTION);
    }

    /** Stores a non-negative value and restarts its retention time. */
    public void put(long hash, int value, long atMillis) {
        bucketAt(atMillis).put(hash, value);
    }

    /** Returns the value last stored for {@code hash}, unless it has been dropped. */
    public OptionalInt get(long hash) {
        return buckets.descendingMap().values().stream()
                .mapToInt(bucket -> bucket.get(hash))
                .filter(value -> value != ABSENT)
                .findFirst();
    }

    /**
     * Returns a lower bound of the time at which {@code hash} was last stored, which is the start of its time bucket;
     * {@link Long#MIN_VALUE} if it is absent.
     */
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

    /** Returns the number of entries; a hash that is present in several buckets is counted once for each. */
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
