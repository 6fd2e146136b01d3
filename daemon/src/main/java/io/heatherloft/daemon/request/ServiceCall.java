package io.heatherloft.daemon.request;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.configuration.PlainService;

/**
 * A call of a plain service. Immutable and safe for use by several threads.
 *
 * @param pathAndQuery what follows the service's name, starting with a slash
 */
public record ServiceCall(PlainService service, String method, String pathAndQuery, String contentType, Bytes body) {
    private static final char QUERY_SEPARATOR = '?';

    /** Returns true if running it twice does no harm. */
    public boolean isIdempotent() {
        int query = pathAndQuery.indexOf(QUERY_SEPARATOR);
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        return service.isIdempotent(method, path);
    }

    /** Returns a digest of the whole call. */
    public long digest() {
        return StableHash.of(method + " " + pathAndQuery, body.toText());
    }
}
