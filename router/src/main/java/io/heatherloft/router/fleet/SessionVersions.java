package io.heatherloft.router.fleet;

import io.heatherloft.domain.BoundedMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The version that each active session last ran on.
 *
 * <p>Holds at most {@link #CAPACITY} sessions; the least recently used one is evicted. Confined to the loop's thread.
 */
public final class SessionVersions {
    /** Covers ten minutes of a host's share of peak traffic, at one request per second and session. */
    public static final int CAPACITY = 20_000;

    private final long idleMillis;
    private final Map<String, LastUse> lastUses = BoundedMap.withLruEviction(CAPACITY);

    /**
     * Creates an empty map.
     *
     * @param idleMillis session timeout: a session ends after this time without a request
     */
    public SessionVersions(long idleMillis) {
        this.idleMillis = idleMillis;
    }

    /** Records that a request of a session started or ended on a version. */
    public void record(String service, String session, String version, long nowMillis) {
        lastUses.put(service + ' ' + session, new LastUse(version, nowMillis));
    }

    /** Returns the version that a session last ran on, if the session has not timed out. */
    public Optional<String> find(String service, String session, long nowMillis) {
        return Optional.ofNullable(lastUses.get(service + ' ' + session))
                .filter(use -> nowMillis - use.atMillis() < idleMillis)
                .map(LastUse::version);
    }

    /** Returns the names of a service's sessions that have not timed out and last ran on another version than this one. */
    List<String> activeOnOtherVersions(String service, String version, long nowMillis) {
        String keyPrefix = service + ' ';
        return lastUses.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(keyPrefix))
                .filter(entry -> nowMillis - entry.getValue().atMillis() < idleMillis)
                .filter(entry -> !entry.getValue().version().equals(version))
                .map(entry -> entry.getKey().substring(keyPrefix.length()))
                .toList();
    }

    private record LastUse(String version, long atMillis) {}
}
