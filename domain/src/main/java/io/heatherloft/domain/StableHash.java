package io.heatherloft.domain;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Hashes that give the same value on every host and in every release.
 *
 * <p>Invariant: the value depends on the arguments alone. Stateless and safe for use by several threads.
 */
public final class StableHash {
    private static final double DOUBLE_UNIT = 0x1.0p-53;
    private static final int DOUBLE_SHIFT = 11;

    private StableHash() {}

    /** Returns a 64-bit hash of a text. */
    public static long of(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /** Returns a 64-bit hash of a text under a salt, for independent choices on one text. */
    public static long of(String salt, String text) {
        return mix(of(salt), of(text));
    }

    /** Returns a hash of two hashes; used for rendezvous weights, where both sides are hashed once. */
    public static long mix(long first, long second) {
        long value = first ^ Long.rotateLeft(second, 32) * 0x9E3779B97F4A7C15L;
        value = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        value = (value ^ (value >>> 27)) * 0x94D049BB133111EBL;
        return value ^ (value >>> 31);
    }

    /** Maps a hash to a number from 0 (inclusive) to 1 (exclusive). */
    public static double toUnitInterval(long hash) {
        return (hash >>> DOUBLE_SHIFT) * DOUBLE_UNIT;
    }
}
