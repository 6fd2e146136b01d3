package io.heatherloft.domain.route;

import java.util.OptionalLong;

/**
 * A workspace that owns API keys.
 *
 * <p>Immutable and thread-safe.
 *
 * @param priority priority of the workspace's requests, 0 being the highest; overrides the route's if present
 */
public record KeyHolder(String workspace, OptionalLong priority) {

    /** Returns the priority of this workspace's requests on a route, 0 being the highest. */
    public int priorityOn(Route route) {
        return priority.isPresent() ? (int) priority.getAsLong() : route.priority();
    }
}
