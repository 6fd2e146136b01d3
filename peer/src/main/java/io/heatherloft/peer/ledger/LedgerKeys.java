package io.heatherloft.peer.ledger;

/**
 * Keys of the ledger in the platform's key-value store.
 *
 * <p>Apart from segments that failed compactions leave behind, the number of keys of a shard does not grow with the
 * length of its log: there is one head key, {@value #SLOTS_PER_SHARD} slot keys, which are reused, and a key for each
 * segment, which is deleted after the segment expires. Stateless and thread-safe.
 */
public final class LedgerKeys {
    /** Number of shards. Must not change, because it determines which shard holds the records of a request. */
    public static final int SHARD_COUNT = 8;

    /** Size of the ring buffer that holds a shard's newest batches; a slot is reused once its batch is compacted. */
    public static final int SLOTS_PER_SHARD = 256;

    private static final String KEY_PREFIX = "heatherloft/ledger/";

    private LedgerKeys() {}

    /** Returns the index of the shard that a hash maps to. */
    public static int shardOf(long hash) {
        return (int) Long.remainderUnsigned(hash, SHARD_COUNT);
    }

    static String headKey(int shard) {
        return KEY_PREFIX + shard + "/head";
    }

    static String slotPrefix(int shard) {
        return KEY_PREFIX + shard + "/slot/";
    }

    static String slotKey(int shard, long sequence) {
        return slotPrefix(shard) + sequence % SLOTS_PER_SHARD;
    }

    static String segmentKey(int shard, long index) {
        return KEY_PREFIX + shard + "/segment/" + index;
    }
}
