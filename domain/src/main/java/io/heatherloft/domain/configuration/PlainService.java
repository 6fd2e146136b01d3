package io.heatherloft.domain.configuration;

import java.util.List;
import java.util.Set;

/**
 * A service without models that requests are routed to.
 *
 * <p>Invariant: GET and HEAD are always idempotent. Immutable and thread-safe.
 *
 * @param priceMicrosPerCall price of a call, in micros
 * @param timeoutMillis time allowed for an answer, in milliseconds
 * @param idempotentPaths calls with other methods that may be repeated
 */
public record PlainService(
        String name, String pool, long priceMicrosPerCall, long timeoutMillis, List<IdempotentPath> idempotentPaths) {
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

    /** Returns true if a call may be repeated. */
    public boolean isIdempotent(String method, String path) {
        return SAFE_METHODS.contains(method)
                || idempotentPaths.stream()
                        .anyMatch(declared -> declared.method().equals(method)
                                && declared.path().equals(path));
    }

    /** A call that may be repeated although its method does not say so. */
    public record IdempotentPath(String method, String path) {}
}
