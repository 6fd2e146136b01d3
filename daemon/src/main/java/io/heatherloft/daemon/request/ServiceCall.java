package io.heatherloft.daemon.request;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.configuration.PlainService;

/**
 * A call of a plain service. Immutable and thread-safe.
 *
 * @param pathAndQuery path after the service's name, starting with a slash, and the query string
 */
public record ServiceCall(PlainService service, String method, String pathAndQuery, String contentType, Bytes body) {
    private static final char QUERY_SEPARATOR = '?';

    /** Returns true if the call is configured as idempotent, so that it may be sent again. */
    public boolean isIdempotent() {
        int query = pathAndQuery.indexOf(QUERY_SEPARATOR);
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        return service.isIdempotent(method, path);
    }

    /** Returns a digest of the method, the path, the query string and the body. */
    public long digest() {
        return StableHash.of(method + " " + pathAndQuery, body.toText());
    }
}
