package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The priorities of the requests that a host has recently seen on each service, 0 being the highest.
 *
 * <p>Confined to one thread.
 */
public final class RecentPriorities {
    private static final long RECENT_MILLIS = 1_000L;
    private static final int MAX_SERVICES = 64;
    private static final int MAX_PRIORITIES = 64;

    private final Map<String, Map<Integer, Long>> lastSeenMillis = new HashMap<>();

    /** Records a request. */
    public void record(String service, int priority, long nowMillis) {
        if (lastSeenMillis.size() >= MAX_SERVICES) {
            lastSeenMillis.keySet().removeIf(known -> !known.equals(service));
        }
        lastSeenMillis
                .computeIfAbsent(service, _service -> BoundedMap.withLruEviction(MAX_PRIORITIES))
                .put(priority, nowMillis);
    }

    /** Returns true if no request with a higher priority was seen on the service in the last second. */
    public boolean isHighest(String service, int priority, long nowMillis) {
        return lastSeenMillis.getOrDefault(service, Map.of()).entrySet().stream()
                .noneMatch(seen -> seen.getKey() < priority && nowMillis - seen.getValue() <= RECENT_MILLIS);
    }
}
