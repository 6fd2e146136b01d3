package io.heatherloft.router.backend;

/**
 * Timeouts of connections to backend servers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connectTimeoutMillis connect timeout
 * @param defaultIdleMillis idle timeout if the server's response has no {@code Keep-Alive} timeout
 * @param idleMarginMillis how long before the server's own {@code Keep-Alive} timeout an idle connection is closed, so
 *     that no request is sent on a connection that the server is closing
 * @param maxIdleMillis upper bound of the idle timeout
 */
public record ConnectionPoolSettings(
        int connectTimeoutMillis, long defaultIdleMillis, long idleMarginMillis, long maxIdleMillis) {
    /** Settings for backend servers in the same region, where connecting takes a few milliseconds. */
    public static final ConnectionPoolSettings DEFAULT = new ConnectionPoolSettings(500, 600L, 400L, 30_000L);
}
