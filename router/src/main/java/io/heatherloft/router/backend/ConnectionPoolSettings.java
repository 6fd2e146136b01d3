package io.heatherloft.router.backend;

/**
 * Time limits of connections to backend servers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connectTimeoutMillis longest time for a connection to be made
 * @param defaultIdleMillis longest time for which a connection is kept idle if its server does not state a time
 * @param idleMarginMillis time by which a connection is given up before its server would close it
 * @param maxIdleMillis longest time for which a connection is kept idle
 */
public record ConnectionPoolSettings(int connectTimeoutMillis, long defaultIdleMillis, long idleMarginMillis, long maxIdleMillis) {
    /** Settings for backend servers in the same region; a connection takes a few milliseconds there. */
    public static final ConnectionPoolSettings DEFAULT = new ConnectionPoolSettings(500, 600L, 400L, 30_000L);
}
