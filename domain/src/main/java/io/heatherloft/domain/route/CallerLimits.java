package io.heatherloft.domain.route;

/**
 * Limits on the size and duration of callers' requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of its header
 * @param idleTimeoutMillis maximum time without received bytes, both between requests and within a body
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration is loaded. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000L, 15_000L);
}
