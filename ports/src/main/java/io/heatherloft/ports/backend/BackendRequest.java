package io.heatherloft.ports.backend;

import io.heatherloft.domain.Bytes;
import java.util.List;

/**
 * A request to a backend server. Immutable and thread-safe.
 *
 * @param address IP address and port
 * @param path path and query, starting with a slash
 * @param idempotent true if the request may safely be executed twice, so that it may be sent on a kept-alive connection
 */
public record BackendRequest(
        String address, String method, String path, List<Header> headers, Bytes body, boolean idempotent) {
    public record Header(String name, String value) {}
}
