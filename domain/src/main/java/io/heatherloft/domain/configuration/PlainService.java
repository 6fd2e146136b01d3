package io.heatherloft.domain.configuration;

import java.util.List;
import java.util.Set;

/**
 * A service to which requests are routed without a choice of model.
 *
 * <p>Invariant: GET and HEAD calls are always idempotent. Immutable and thread-safe.
 *
 * @param priceMicrosPerCall price of a call, in micros
 * @param timeoutMillis maximum time for an answer, in milliseconds
 * @param idempotentPaths calls with other methods that are declared idempotent
 */
public record PlainService(
        String name, String pool, long priceMicrosPerCall, long timeoutMillis, List<IdempotentPath> idempotentPaths) {
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

    /** Returns true if a call is idempotent and may be repeated. */
    public boolean isIdempotent(String method, String path) {
        return SAFE_METHODS.contains(method)
                || idempotentPaths.stream()
                        .anyMatch(declared -> declared.method().equals(method)
                                && declared.path().equals(path));
    }

    /** A call that is declared idempotent although its method is not. */
    public record IdempotentPath(String method, String path) {}
}
