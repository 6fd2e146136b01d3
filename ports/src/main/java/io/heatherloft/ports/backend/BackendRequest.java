package io.heatherloft.ports.backend;

import io.heatherloft.domain.Bytes;
import java.util.List;

/**
 * A request to a backend server. Immutable and safe for use by several threads.
 *
 * @param address IP number and port
 * @param path path and query, starting with a slash
 * @param idempotent true if running it twice does no harm, so that a kept connection may be used
 */
public record BackendRequest(
        String address, String method, String path, List<Header> headers, Bytes body, boolean idempotent) {
    /** A header field. */
    public record Header(String name, String value) {}
}
