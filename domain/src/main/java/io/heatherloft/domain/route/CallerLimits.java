package io.heatherloft.domain.route;

/**
 * Limits on what a caller sends and on how long it may take.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param headerTimeoutMillis longest time from the first byte of a request to the end of its header
 * @param idleTimeoutMillis longest time without a byte, between requests and within a body
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000L, 15_000L);
}
