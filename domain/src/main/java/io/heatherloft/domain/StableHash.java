package io.heatherloft.domain;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Hash functions whose values are the same on every host and in every release.
 *
 * <p>Invariant: the value depends only on the arguments. Stateless and thread-safe.
 */
public final class StableHash {
    private static final double DOUBLE_UNIT = 0x1.0p-53;
    private static final int DOUBLE_SHIFT = 11;

    private StableHash() {}

    /** Returns a 64-bit hash of a string. */
    public static long of(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /** Returns a salted 64-bit hash, so that different decisions about one string are independent. */
    public static long of(String salt, String text) {
        return mix(of(salt), of(text));
    }

    /** Combines two hashes; rendezvous hashing uses it so that each key and each node is hashed only once. */
    public static long mix(long first, long second) {
        long value = first ^ Long.rotateLeft(second, 32) * 0x9E3779B97F4A7C15L;
        value = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        value = (value ^ (value >>> 27)) * 0x94D049BB133111EBL;
        return value ^ (value >>> 31);
    }

    /** Maps a hash uniformly to the interval from 0 (inclusive) to 1 (exclusive). */
    public static double toUnitInterval(long hash) {
        return (hash >>> DOUBLE_SHIFT) * DOUBLE_UNIT;
    }
}
