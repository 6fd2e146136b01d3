package io.heatherloft.domain.route;

import io.heatherloft.domain.StableHash;
import java.util.Arrays;

/**
 * The hosts among which this host divides work by rendezvous hashing, and whether its list of them can be relied on.
 *
 * <p>A list is unreliable while it fills after the start of this host, and once it has shrunk to a part of its former length,
 * as it does when this host is cut off from others. Invariant: of disjoint groups of hosts that were one fleet within the last
 * {@link #LONGEST_PERIOD_MILLIS}, at most one relies on its lists. Confined to one thread.
 */
final class KnownHosts {
    /** Time from the start for which a list is unreliable. */
    static final long START_MILLIS = 5_000L;
    /** Time, at least, for which the longest length of a list counts; at most twice as long. */
    static final long LONGEST_PERIOD_MILLIS = 900_000L;

    // While a list grows by more than the fraction in several rounds of gossip, which take 8 ms for each host, it
    // misses so many hosts that too many would take themselves for the first in an order of all.
    private static final long MIN_SETTLE_MILLIS = 5_000L;
    private static final long SETTLE_MILLIS_PER_HOST = 60L;
    private static final double SETTLED_GROWTH = 0.05;
    // Above a half, so that at most one of two groups of a divided fleet is larger. The hosts that remain when one of
    // three zones is lost are more.
    private static final double MIN_FRACTION_OF_LONGEST = 0.6;

    private final long self;
    private final long startMillis;
    private long[] others = {};
    private boolean reliable;
    private int settledSize = 1;
    private long grownMillis;
    private int longest = 1;
    private int longestBefore = 1;
    private long periodStartMillis;

    /**
     * Creates an empty list.
     *
     * @param self hash of this host's name
     */
    KnownHosts(long self, long startMillis) {
        this.self = self;
        this.startMillis = startMillis;
        this.grownMillis = startMillis;
        this.periodStartMillis = startMillis;
    }

    /** Replaces the list by the hashes of the names of the other hosts that are known now. */
    void update(long[] newOthers, long nowMillis) {
        others = newOthers.clone();
        int size = 1 + others.length;
        if (nowMillis - periodStartMillis >= LONGEST_PERIOD_MILLIS) {
            longestBefore = longest;
            longest = 1;
            periodStartMillis = nowMillis;
        }
        longest = Math.max(longest, size);
        if (size > settledSize * (1 + SETTLED_GROWTH)) {
            grownMillis = nowMillis;
            settledSize = size;
        }
        settledSize = Math.min(settledSize, size);
        boolean longEnough = size > 1 && size > MIN_FRACTION_OF_LONGEST * Math.max(longest, longestBefore);
        long settleMillis = Math.max(MIN_SETTLE_MILLIS, SETTLE_MILLIS_PER_HOST * size);
        boolean settled = nowMillis - grownMillis >= settleMillis && nowMillis - startMillis >= START_MILLIS;
        reliable = longEnough && (reliable || settled);
    }

    /** Returns true if the list can be relied on. */
    boolean isReliable() {
        return reliable;
    }

    /** Returns true if this host is among the first hosts in the order of a hash of a key and each host. */
    boolean isAmongFirst(int count, long key) {
        long own = StableHash.mix(key, self);
        return Arrays.stream(others)
                        .filter(other -> StableHash.mix(key, other) > own)
                        .limit(count)
                        .count()
                < count;
    }
}
