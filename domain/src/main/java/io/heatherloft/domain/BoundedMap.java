package io.heatherloft.domain;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts its eldest entry when an insertion exceeds its capacity.
 *
 * <p>Invariant: the number of entries never exceeds the capacity. Confined to one thread.
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;

    private BoundedMap(int capacity, boolean accessOrder) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, accessOrder);
        this.capacity = capacity;
    }

    /** Returns a map that evicts the key that was inserted first. */
    public static <K, V> Map<K, V> withFifoEviction(int capacity) {
        return new BoundedMap<>(capacity, false);
    }

    /** Returns a map that evicts the key that was least recently read or written. */
    public static <K, V> Map<K, V> withLruEviction(int capacity) {
        return new BoundedMap<>(capacity, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> _eldest) {
        return size() > capacity;
    }
}
