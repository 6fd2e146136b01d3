package io.heatherloft.domain;

import java.util.Comparator;

/**
 * Position in the history of the key-value store.
 *
 * <p>Within an era every change has a higher number than the one before. A store that is restored from an older copy
 * begins a new era, in which the numbers after that of the copy are given out again. Revisions are ordered by their eras,
 * then by their numbers; this is the order in which the store made the changes. Immutable and thread-safe.
 *
 * @param era number of times that the store has been restored, from any starting value
 * @param number revision within the era; 0 before the first change
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    /** Before the first change of any era. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /** Returns a revision of a store that is never restored. */
    public static StoreRevision ofFirstEra(long number) {
        return new StoreRevision(0, number);
    }

    /** Returns true if the store made this change later than another one. */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /** Returns the later of two revisions. */
    public static StoreRevision max(StoreRevision first, StoreRevision second) {
        return first.isAfter(second) ? first : second;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "." + number;
    }
}
