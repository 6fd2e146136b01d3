package io.heatherloft.peer.ledger;

/**
 * Keys of the ledger in the platform's store.
 *
 * <p>Invariant: the number of keys of a shard is bounded by its ring of slots and its live segments. Stateless and safe
 * for use by several threads.
 */
public final class LedgerKeys {
    /** Number of shards; fixed, since it decides which shard knows a request. */
    public static final int SHARD_COUNT = 8;

    /** Slots of a shard's log; a slot is written again once its batch is folded. */
    public static final int SLOTS_PER_SHARD = 256;

    private static final String KEY_PREFIX = "heatherloft/ledger/";

    private LedgerKeys() {}

    /** Returns the shard that a hash belongs to. */
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
