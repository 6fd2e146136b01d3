package io.heatherloft.domain.route;

/**
 * A workspace as the holder of API keys.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param priority rank of the workspace's requests, 0 first; it goes before the route's
 */
public record KeyHolder(String workspace, int priority) {}
