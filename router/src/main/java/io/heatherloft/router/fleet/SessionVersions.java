package io.heatherloft.router.fleet;

import io.heatherloft.domain.BoundedMap;
import java.util.Map;
import java.util.Optional;

/**
 * The versions on which sessions ran last.
 *
 * <p>Invariant: holds at most {@link #CAPACITY} sessions, those used last. Confined to the loop's thread.
 */
public final class SessionVersions {
    /** Sessions remembered; ten minutes of a host's share of the peak, at a request a second for each session. */
    public static final int CAPACITY = 20_000;

    private final long idleMillis;
    private final Map<String, Use> uses = BoundedMap.withLruEviction(CAPACITY);

    /**
     * Creates an empty memory.
     *
     * @param idleMillis time without a request after which a session has ended
     */
    public SessionVersions(long idleMillis) {
        this.idleMillis = idleMillis;
    }

    /** Records that a request of a session runs, or has just ended, on a version. */
    public void record(String service, String session, String version, long nowMillis) {
        uses.put(service + ' ' + session, new Use(version, nowMillis));
    }

    /** Returns the version on which a session ran, if it goes on. */
    public Optional<String> find(String service, String session, long nowMillis) {
        return Optional.ofNullable(uses.get(service + ' ' + session))
                .filter(use -> nowMillis - use.atMillis() < idleMillis)
                .map(Use::version);
    }

    private record Use(String version, long atMillis) {}
}
