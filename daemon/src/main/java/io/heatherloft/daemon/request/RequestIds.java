package io.heatherloft.daemon.request;

import java.util.OptionalLong;
import java.util.Random;
import java.util.UUID;

/**
 * Generates and checks request ids. Generated ids are version 7 UUIDs (RFC 9562), which contain their creation time.
 *
 * <p>Collisions between ids from one random generator are improbable enough to be ignored. Stateless and thread-safe.
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

    /** Generates an id. */
    public static String generate(long nowMillis, Random random) {
        long high = (nowMillis << TIME_SHIFT) | VERSION_BITS | (random.nextLong() & RANDOM_HIGH_MASK);
        long low = VARIANT_BITS | (random.nextLong() & RANDOM_LOW_MASK);
        return new UUID(high, low).toString();
    }

    /** Returns the creation time of an id in milliseconds, or empty if the id is not a version 7 UUID. */
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

    /** Returns true if the text is valid as a request id: 1 to 200 printable ASCII characters without spaces. */
    public static boolean isWellFormed(String id) {
        return !id.isEmpty() && id.length() <= MAX_LENGTH && id.chars().allMatch(c -> c > ' ' && c < '\u007f');
    }
}
