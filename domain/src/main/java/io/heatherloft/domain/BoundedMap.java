package io.heatherloft.domain;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that drops its eldest entry for each one too many.
 *
 * <p>Invariant: holds at most its capacity. Confined to one thread.
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;

    private BoundedMap(int capacity, boolean orderedByUse) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, orderedByUse);
        this.capacity = capacity;
    }

    /** Returns a map that keeps the entries whose keys were added last. */
    public static <K, V> Map<K, V> withFifoEviction(int capacity) {
        return new BoundedMap<>(capacity, false);
    }

    /** Returns a map that keeps the entries that were read or written last. */
    public static <K, V> Map<K, V> withLruEviction(int capacity) {
        return new BoundedMap<>(capacity, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> _eldest) {
        return size() > capacity;
    }
}
