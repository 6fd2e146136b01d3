package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import io.heatherloft.domain.StableHash;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Divides the request rates that backend servers accept from all hosts together among the hosts.
 *
 * <p>A host that has a request for a limited server claims a share of its limit. Hosts exchange claims. Some of the
 * claimants, the more the higher the limit, those first in the order of a hash, hold equal shares, and the others send
 * nothing. So the hosts' token buckets hold few tokens together, however many hosts there are.
 *
 * <p>Invariants: a host sends a limited server no request for which it has no token; a host that has begun to claim
 * waits until its claim is known to all hosts; hosts with the same claims agree on the holders. Confined to one thread.
 */
public final class ServerLimitShares {
    // Time in which a claim reaches all hosts.
    private static final long SETTLE_MILLIS = 2_000L;
    private static final long CLAIM_INTERVAL_MILLIS = 1_000L;
    // A claim ends if its host does not repeat it. Repeated claims take longer to spread among more hosts.
    private static final long MIN_CLAIM_TTL_MILLIS = 5_000L;
    private static final long CLAIM_TTL_MILLIS_PER_HOST = 100L;
    // Each holder can have saved one token, so the number of holders limits bursts.
    private static final int MIN_HOLDERS = 2;
    private static final int HOLDERS_PER_REQUEST_PER_SECOND = 2;
    private static final int MAX_HOLDERS = 64;
    // More than the servers of a fleet and those that have left lately.
    private static final int MAX_SERVERS = 2_048;
    private static final double MAX_TOKENS = 1;
    // Rate at which a server that accepts no requests is asked whether it still does not.
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;
    private static final double MILLIS_PER_SECOND = 1_000;
    // Ages of observations leave out the time that messages take.
    private static final long CLOCK_TOLERANCE_MILLIS = 50L;
    // A limit that no server has confirmed or lifted for this time is that of a server that is gone.
    private static final long REPORTED_MILLIS = 300_000L;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long self;
    private final Map<Long, Limit> limits = BoundedMap.withLruEviction(MAX_SERVERS);
    private long lastChangeMillis = NEVER;

    /**
     * Creates an instance without limits.
     *
     * @param self hash of this host's name
     */
    public ServerLimitShares(long self) {
        this.self = self;
    }

    /** A host's claim to a share of a server's limit. */
    public record Claim(long host, long atMillis) {}

    /**
     * What a host knows of a server's limit.
     *
     * @param server hash of the server's incarnation
     * @param requestsPerSecond limit that the server named last; empty if its last response named none
     * @param atMillis time at which the server named it
     * @param claims claims of the hosts that hold shares
     */
    public record Observation(long server, OptionalDouble requestsPerSecond, long atMillis, List<Claim> claims) {}

    private static final class Limit {
        private OptionalDouble requestsPerSecond = OptionalDouble.empty();
        private long observedMillis = NEVER;
        private final Map<Long, Long> claims = new HashMap<>();
        private long claimingSinceMillis = NEVER;
        private double tokens;
        private long refilledMillis;

        private int holders() {
            return (int)
                    Math.min(MAX_HOLDERS, MIN_HOLDERS + HOLDERS_PER_REQUEST_PER_SECOND * requestsPerSecond.orElse(0));
        }
    }

    /**
     * Records what a response of a server says of its limit.
     *
     * @param requestsPerSecond the limit; empty if the response names none
     * @param sentMillis time at which the request was sent
     * @return true if a limit was named for the first time, changed or lifted
     */
    public boolean recordResponse(long server, OptionalDouble requestsPerSecond, long sentMillis, long nowMillis) {
        Limit known = limits.get(server);
        if (requestsPerSecond.isEmpty() && (known == null || sentMillis < known.observedMillis)) {
            return false;
        }
        return apply(server, requestsPerSecond, nowMillis, nowMillis);
    }

    /** Merges the observation of another host. */
    public boolean merge(Observation observation, int hostCount, long nowMillis) {
        Limit limit = limits.computeIfAbsent(observation.server(), _server -> new Limit());
        boolean outdated = !limit.requestsPerSecond.equals(observation.requestsPerSecond())
                && observation.atMillis() <= limit.observedMillis + CLOCK_TOLERANCE_MILLIS;
        boolean changed = !outdated
                && apply(observation.server(), observation.requestsPerSecond(), observation.atMillis(), nowMillis);
        List<Long> before = holdersOf(observation.server(), limit);
        observation.claims().forEach(claim -> limit.claims.merge(claim.host(), claim.atMillis(), Math::max));
        dropOldClaims(limit, hostCount, nowMillis);
        if (!before.equals(holdersOf(observation.server(), limit))) {
            lastChangeMillis = nowMillis;
        }
        return changed;
    }

    private boolean apply(long server, OptionalDouble requestsPerSecond, long atMillis, long nowMillis) {
        Limit limit = limits.computeIfAbsent(server, _server -> new Limit());
        if (atMillis <= limit.observedMillis) {
            return false;
        }
        limit.observedMillis = atMillis;
        if (limit.requestsPerSecond.equals(requestsPerSecond)) {
            return false;
        }
        limit.requestsPerSecond = requestsPerSecond;
        lastChangeMillis = nowMillis;
        return true;
    }

    /**
     * Returns true if this host may send a server a request now. Claims a share of the limit if the server has one.
     *
     * @param hostCount number of known hosts, including this one
     */
    public boolean mayUse(long server, int hostCount, long nowMillis) {
        Limit limit = limits.get(server);
        if (limit == null || limit.requestsPerSecond.isEmpty()) {
            return true;
        }
        claim(server, limit, hostCount, nowMillis);
        refill(server, limit, nowMillis);
        return limit.tokens >= 1;
    }

    private void claim(long server, Limit limit, int hostCount, long nowMillis) {
        dropOldClaims(limit, hostCount, nowMillis);
        Long claimed = limit.claims.get(self);
        if (claimed == null) {
            limit.claimingSinceMillis = nowMillis;
        }
        if (claimed == null || nowMillis - claimed >= CLAIM_INTERVAL_MILLIS) {
            List<Long> before = holdersOf(server, limit);
            limit.claims.put(self, nowMillis);
            if (!before.equals(holdersOf(server, limit))) {
                lastChangeMillis = nowMillis;
            }
        }
    }

    private static void dropOldClaims(Limit limit, int hostCount, long nowMillis) {
        long maxAgeMillis = MIN_CLAIM_TTL_MILLIS + CLAIM_TTL_MILLIS_PER_HOST * hostCount;
        limit.claims.values().removeIf(atMillis -> nowMillis - atMillis > maxAgeMillis);
    }

    private void refill(long server, Limit limit, long nowMillis) {
        List<Long> holders = holdersOf(server, limit);
        boolean settled = nowMillis - limit.claimingSinceMillis >= SETTLE_MILLIS;
        if (!settled || !holders.contains(self)) {
            limit.tokens = 0;
        } else {
            double share = Math.max(MIN_REQUESTS_PER_SECOND, limit.requestsPerSecond.orElse(0)) / holders.size();
            double earned = (nowMillis - limit.refilledMillis) * share / MILLIS_PER_SECOND;
            limit.tokens = Math.min(MAX_TOKENS, limit.tokens + earned);
        }
        limit.refilledMillis = nowMillis;
    }

    private static List<Long> holdersOf(long server, Limit limit) {
        return limit.claims.keySet().stream()
                .sorted(Comparator.comparingLong((Long host) -> StableHash.mix(server, host))
                        .reversed())
                .limit(limit.holders())
                .toList();
    }

    /** Records that this host sends a server a request. */
    public void recordSend(long server) {
        Limit limit = limits.get(server);
        if (limit != null) {
            limit.tokens = Math.max(0, limit.tokens - 1);
        }
    }

    /** Returns the newest observations, to be reported to other hosts. */
    public List<Observation> observations(int maxCount, long nowMillis) {
        return limits.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().observedMillis < REPORTED_MILLIS)
                .sorted(Comparator.comparingLong((Map.Entry<Long, Limit> entry) -> entry.getValue().observedMillis)
                        .reversed())
                .limit(maxCount)
                .map(entry -> new Observation(
                        entry.getKey(),
                        entry.getValue().requestsPerSecond,
                        entry.getValue().observedMillis,
                        holdersOf(entry.getKey(), entry.getValue()).stream()
                                .map(host ->
                                        new Claim(host, entry.getValue().claims.get(host)))
                                .toList()))
                .toList();
    }

    /** Returns the time of the last change that other hosts must learn soon. */
    public long lastChangeMillis() {
        return lastChangeMillis;
    }
}
