package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Backend servers that have said that they leave, or that they want no requests for some time.
 *
 * <p>A server is known by its incarnation: what it said ends with it, and neither a new start at its ID or address nor a stored
 * entry says anything about it. Invariants: a departure is never taken back; of two rests the one that ends later holds; records
 * are bounded in number and age. Confined to one thread.
 */
public final class UnavailableServers {
    /** Longest rest that is granted. */
    public static final long MAX_REST_MILLIS = 3_600_000L;

    // Longer than a server that leaves goes on running.
    private static final long DEPARTURE_RETENTION_MILLIS = 900_000L;
    // A leaving server that is the last of its service is used for this time, in which it still has to serve requests.
    private static final long LAST_RESORT_MILLIS = 1_000L;
    private static final int MAX_SERVERS = 1_024;
    // Times left of a rest leave out the time that messages take.
    private static final long MESSAGE_TOLERANCE_MILLIS = 500L;

    private final Map<Long, Long> leavingSinceMillis = BoundedMap.withFifoEviction(MAX_SERVERS);
    private final Map<Long, Long> restEndMillis = BoundedMap.withFifoEviction(MAX_SERVERS);
    private final Map<Long, Long> sharedRestEndMillis = BoundedMap.withFifoEviction(MAX_SERVERS);
    private long lastChangeMillis = Long.MIN_VALUE / 2;

    /** A server at rest. */
    public record Rest(long server, long remainingMillis) {}

    /** A server that leaves, and the time at which it said so first, as far as known. */
    public record Departure(long server, long atMillis) {}

    /**
     * Records that a server has said that it leaves.
     *
     * @return true if this was not known
     */
    public boolean recordDeparture(Departure departure, long nowMillis) {
        if (nowMillis - departure.atMillis() > DEPARTURE_RETENTION_MILLIS) {
            return false;
        }
        Long known = leavingSinceMillis.putIfAbsent(departure.server(), departure.atMillis());
        if (known == null) {
            lastChangeMillis = nowMillis;
        } else if (nowMillis - known > DEPARTURE_RETENTION_MILLIS) {
            leavingSinceMillis.put(departure.server(), departure.atMillis());
        }
        return known == null;
    }

    /**
     * Records that a server wants no requests for some time.
     *
     * @return true if it has not been at rest
     */
    public boolean recordRest(long server, long restMillis, long nowMillis) {
        boolean atRest = remainingRestMillis(server, nowMillis) > 0;
        long endMillis = nowMillis + Math.min(restMillis, MAX_REST_MILLIS);
        restEndMillis.merge(server, endMillis, Math::max);
        return !atRest && restMillis > 0;
    }

    /**
     * Records that a server wants no requests for some time from a host that is not known. As it can be any host, all leave the
     * server alone.
     */
    public void recordSharedRest(Rest rest, long nowMillis) {
        long endMillis = nowMillis + Math.min(rest.remainingMillis(), MAX_REST_MILLIS);
        Long known = sharedRestEndMillis.get(rest.server());
        // Otherwise hosts that tell each other of a rest would prolong it with each message.
        if (known == null || endMillis - known > MESSAGE_TOLERANCE_MILLIS) {
            boolean _new = recordRest(rest.server(), rest.remainingMillis(), nowMillis);
            sharedRestEndMillis.put(rest.server(), endMillis);
            lastChangeMillis = nowMillis;
        }
    }

    /** Returns the rests that concern all hosts, to be reported to other hosts. */
    public List<Rest> sharedRests(int maxCount, long nowMillis) {
        return sharedRestEndMillis.entrySet().stream()
                .map(entry -> new Rest(entry.getKey(), entry.getValue() - nowMillis))
                .filter(rest -> rest.remainingMillis() > 0)
                .limit(maxCount)
                .toList();
    }

    /** Returns true if a server has said that it leaves. */
    public boolean isLeaving(long server, long nowMillis) {
        Long since = leavingSinceMillis.get(server);
        return since != null && nowMillis - since <= DEPARTURE_RETENTION_MILLIS;
    }

    /** Returns true if a server may be used if its service has no other. */
    public boolean isLastResort(long server, long nowMillis) {
        Long since = leavingSinceMillis.get(server);
        return since == null || nowMillis - since <= LAST_RESORT_MILLIS;
    }

    /** Returns the time until a server accepts requests again; 0 if it is not at rest. */
    public long remainingRestMillis(long server, long nowMillis) {
        return Math.max(0, restEndMillis.getOrDefault(server, nowMillis) - nowMillis);
    }

    /** Returns the newest departures, to be reported to other hosts. */
    public List<Departure> departures(int maxCount, long nowMillis) {
        return leavingSinceMillis.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue() <= DEPARTURE_RETENTION_MILLIS)
                .map(entry -> new Departure(entry.getKey(), entry.getValue()))
                .sorted(Comparator.comparingLong(Departure::atMillis).reversed())
                .limit(maxCount)
                .toList();
    }

    /** Returns the time of the last change that other hosts must learn soon. */
    public long lastChangeMillis() {
        return lastChangeMillis;
    }
}
