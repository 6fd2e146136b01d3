package io.heatherloft.daemon.request;

import java.util.OptionalLong;
import java.util.Random;
import java.util.UUID;

/**
 * Request ids: UUIDs of version 7 (RFC 9562), which carry the time they were made.
 *
 * <p>Invariant: ids of one random generator are distinct for all practical purposes. Stateless and safe for use by
 * several threads.
 */
public final class RequestIds {
    private static final int TIME_SHIFT = 16;
    private static final int VERSION = 7;
    private static final long VERSION_BITS = 0x7000L;
    private static final long RANDOM_HIGH_MASK = 0x0FFFL;
    private static final long VARIANT_BITS = 0x8000000000000000L;
    private static final long RANDOM_LOW_MASK = 0x3FFFFFFFFFFFFFFFL;
    private static final int CANONICAL_LENGTH = 36;
    private static final int MAX_LENGTH = 200;

    private RequestIds() {}

    /** Returns a new id. */
    public static String generate(long nowMillis, Random random) {
        long high = (nowMillis << TIME_SHIFT) | VERSION_BITS | (random.nextLong() & RANDOM_HIGH_MASK);
        long low = VARIANT_BITS | (random.nextLong() & RANDOM_LOW_MASK);
        return new UUID(high, low).toString();
    }

    /** Returns the time an id was made, in milliseconds, if it carries one. */
    public static OptionalLong creationMillisOf(String id) {
        if (id.length() != CANONICAL_LENGTH) {
            return OptionalLong.empty();
        }
        try {
            UUID uuid = UUID.fromString(id);
            return uuid.version() == VERSION
                    ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT)
                    : OptionalLong.empty();
        } catch (IllegalArgumentException _exception) {
            return OptionalLong.empty();
        }
    }

    /** Returns true if a text may be used as a request or session id: short and printable. */
    public static boolean isWellFormed(String id) {
        return !id.isEmpty() && id.length() <= MAX_LENGTH && id.chars().allMatch(c -> c > ' ' && c < '\u007f');
    }
}
