package io.heatherloft.domain.route;

import java.util.OptionalLong;

/**
 * A workspace as the holder of API keys.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param priority rank of the workspace's requests, 0 first; goes before the route's if present
 */
public record KeyHolder(String workspace, OptionalLong priority) {

    /** Returns the rank of a request of this workspace on a route. */
    public int priorityOn(Route route) {
        return priority.isPresent() ? (int) priority.getAsLong() : route.priority();
    }
}
