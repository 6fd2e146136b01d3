package io.heatherloft.router.http;

import io.heatherloft.domain.Bytes;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request as received from a caller.
 *
 * <p>Immutable by convention: the headers must not be modified. Confined to the loop's thread.
 *
 * @param target request target (path and query), as received
 * @param hostName host name, in lower case and without a port
 * @param arrivedAtMillis loop time at which the first byte of the request was read
 */
public record CallerRequest(
        HttpMethod method, String target, String hostName, HttpHeaders headers, Bytes body, long arrivedAtMillis) {

    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
