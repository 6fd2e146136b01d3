package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import io.heatherloft.domain.StableHash;
import java.util.Map;
import java.util.function.LongBinaryOperator;

/**
 * Decides which backend servers are or may be cold, and which requests this host may send them.
 *
 * <p>Only a few hosts, the holders, send to a cold server. Rendezvous hashing selects them from the known hosts. A host whose
 * list of hosts is unreliable sends to few cold servers and seldom.
 *
 * <p>Invariants: this host sends a cold server no request for which it has no token; it has at most one token for a server
 * and earns tokens only while it may use the server; no statement of a server shortens the time for which the end of an
 * evacuation or a failure lets it count as cold. Servers are named by hashes of their IDs, since a server may restart under
 * its ID before its new incarnation is known. Confined to one thread.
 */
public final class ColdServers {
    /** Time after an evacuation or a failure, beyond the service's cold time, for which a server counts as cold. */
    public static final long MARGIN_MILLIS = 500L;

    private static final int MAX_HOLDERS = 4;
    // Each holder may have saved one token, and hosts that disagree may count as holders too.
    private static final int BOUND_PER_HOLDER = 2;
    private static final double MAX_TOKENS = 1;
    // Hosts that started together: of 360, fewer than 6 by expectation use a server, each once in 2 s.
    private static final int START_PARTS = 64;
    private static final double START_TOKENS_PER_SECOND = 0.5;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MAX_SERVERS = 4_096;
    // Limits the harm of a wrong statement; the longest known cold time is a few seconds.
    private static final long MAX_COLD_MILLIS = 600_000L;
    private static final long CHECK_INTERVAL_MILLIS = 2_000L;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long self;
    private final ColdServerBound bound;
    private final KnownHosts hosts;
    private final Map<Long, State> servers = BoundedMap.withLruEviction(MAX_SERVERS);

    /**
     * Creates an instance without cold servers.
     *
     * @param self hash of this host's name
     */
    public ColdServers(long self, ColdServerBound bound, long startMillis) {
        this.self = self;
        this.bound = bound;
        this.hosts = new KnownHosts(self, startMillis);
    }

    /** Why a server counts as cold. */
    public enum Source {
        /** Its entry in the store says so. */
        ENTRY,
        /** A response of it says so. */
        RESPONSE,
        /** The evacuation of its zone has just ended. */
        EVACUATION,
        /** It could not be reached or broke off a response, so it may be restarting. */
        FAILURE
    }

    private static final class State {
        private long statedUntilMillis = NEVER;
        private long evacuatedUntilMillis = NEVER;
        private long failedUntilMillis = NEVER;
        // Since the last failure, nothing has shown that the server is up, so it may start at any later time.
        private boolean down;
        private long lastCheckMillis = NEVER;
        private boolean earning;
        private double tokens;
        private long refilledMillis;

        private long untilMillis() {
            return Math.max(statedUntilMillis, Math.max(evacuatedUntilMillis, failedUntilMillis));
        }

        private boolean isCold(long nowMillis) {
            return down || nowMillis < untilMillis();
        }
    }

    /** Replaces the list of known hosts by the hashes of the names of the other hosts that are known now. */
    public void updateHosts(long[] others, long nowMillis) {
        hosts.update(others, nowMillis);
    }

    /**
     * Records that the entry of a server was written, which shows that the server is up.
     *
     * @param coldMillis time for which the entry says that the server is cold
     * @param coldStartMillis time for which a server of its service is cold after a start
     * @return true if the server did not count as cold before and does now
     */
    public boolean recordEntry(long server, long coldMillis, long coldStartMillis, long nowMillis) {
        // An entry may have been written before the newest response.
        return recordStated(server, coldMillis, coldStartMillis, nowMillis, Math::max);
    }

    /**
     * Records that a server has responded and says for how long it will be cold.
     *
     * @param coldStartMillis time for which a server of its service is cold after a start
     * @return true if the server did not count as cold before and does now
     */
    public boolean recordStatement(long server, long coldMillis, long coldStartMillis, long nowMillis) {
        return recordStated(server, coldMillis, coldStartMillis, nowMillis, (_known, stated) -> stated);
    }

    private boolean recordStated(
            long server, long coldMillis, long coldStartMillis, long nowMillis, LongBinaryOperator newerEnd) {
        if (coldMillis <= 0 && !servers.containsKey(server)) {
            return false;
        }
        State state = stateOf(server, nowMillis);
        boolean coldBefore = state.isCold(nowMillis);
        // An entry may have been written before a failure, and its server may start after it was read.
        markUp(state, coldStartMillis, nowMillis);
        state.statedUntilMillis = newerEnd.applyAsLong(state.statedUntilMillis, nowMillis + limited(coldMillis));
        return becameCold(state, coldBefore, nowMillis);
    }

    /**
     * Records that a server is up, without a statement whether it is cold. If it has failed since it was last known to be up,
     * it may just have started.
     *
     * @param coldStartMillis time for which a server of its service is cold after a start
     */
    public void recordUp(long server, long coldStartMillis, long nowMillis) {
        State state = servers.get(server);
        if (state != null) {
            markUp(state, coldStartMillis, nowMillis);
        }
    }

    private static void markUp(State state, long coldStartMillis, long nowMillis) {
        if (state.down) {
            state.down = false;
            state.failedUntilMillis = nowMillis + coldStartMillis + MARGIN_MILLIS;
        }
    }

    /**
     * Records that a server counts as cold until a time because the evacuation of its zone has ended.
     *
     * @return true if the server did not count as cold before and does now
     */
    public boolean recordEvacuationEnd(long server, long untilMillis, long nowMillis) {
        State state = stateOf(server, nowMillis);
        boolean coldBefore = state.isCold(nowMillis);
        state.evacuatedUntilMillis = Math.max(state.evacuatedUntilMillis, untilMillis);
        return becameCold(state, coldBefore, nowMillis);
    }

    /**
     * Records that a server could not be reached or broke off a response.
     *
     * @param coldMillis time for which a server of its service is cold after a start
     * @return true if the server did not count as cold before and does now
     */
    public boolean recordFailure(long server, long coldMillis, long nowMillis) {
        State state = stateOf(server, nowMillis);
        boolean coldBefore = state.isCold(nowMillis);
        state.failedUntilMillis = nowMillis + coldMillis + MARGIN_MILLIS;
        state.down = true;
        return becameCold(state, coldBefore, nowMillis);
    }

    /** Forgets the failures, which were not those of the servers. */
    public void forgetFailures() {
        servers.values().forEach(state -> {
            state.failedUntilMillis = NEVER;
            state.down = false;
        });
    }

    private State stateOf(long server, long nowMillis) {
        if (servers.size() >= MAX_SERVERS) {
            servers.values().removeIf(state -> !state.isCold(nowMillis));
        }
        return servers.computeIfAbsent(server, _server -> new State());
    }

    private static boolean becameCold(State state, boolean coldBefore, long nowMillis) {
        boolean became = !coldBefore && state.isCold(nowMillis);
        if (became) {
            state.earning = false;
            state.tokens = 0;
        }
        return became;
    }

    private static long limited(long coldMillis) {
        return Math.max(0, Math.min(MAX_COLD_MILLIS, coldMillis));
    }

    /** Returns true if a server is or may be cold. */
    public boolean isCold(long server, long nowMillis) {
        State state = servers.get(server);
        return state != null && state.isCold(nowMillis);
    }

    /** Returns the time until a server no longer counts as cold, as far as known; 0 if that depends on its next sign of life. */
    public long remainingMillis(long server, long nowMillis) {
        State state = servers.get(server);
        return state == null ? 0 : Math.max(0, state.untilMillis() - nowMillis);
    }

    /**
     * Returns true if the caller should find out now by a connection without a request whether a failed server is up. Without
     * this, a host that is no holder would never use the server again.
     */
    public boolean isCheckDue(long server, long nowMillis) {
        State state = servers.get(server);
        boolean due = state != null
                && state.down
                && nowMillis >= state.untilMillis()
                && nowMillis - state.lastCheckMillis >= CHECK_INTERVAL_MILLIS;
        if (due) {
            state.lastCheckMillis = nowMillis;
        }
        return due;
    }

    /**
     * Returns true if this host may ever send a request to a server while it is cold.
     *
     * @param requestsPerSecond rate that a cold server withstands
     */
    public boolean isHolder(long server, double requestsPerSecond) {
        return hosts.isReliable() ? hosts.isAmongFirst(holders(requestsPerSecond), server) : isInStartPart(server);
    }

    private int holders(double requestsPerSecond) {
        double rest = bound.requestsInSecond(requestsPerSecond) - requestsPerSecond;
        return (int) Math.max(1, Math.min(MAX_HOLDERS, Math.floor(rest / BOUND_PER_HOLDER)));
    }

    private boolean isInStartPart(long server) {
        return Math.floorMod(StableHash.mix(self, server), START_PARTS) == 0;
    }

    /**
     * Returns true if this host may send a server a request now: the server is not cold, or this host has a token for it.
     *
     * @param requestsPerSecond rate that a cold server withstands
     */
    public boolean mayUse(long server, double requestsPerSecond, long nowMillis) {
        return !isCold(server, nowMillis) || refill(server, requestsPerSecond, nowMillis).tokens >= MAX_TOKENS;
    }

    /** Returns the time until this host may send a server a request; that until it is warm if this host earns no tokens. */
    public long waitMillis(long server, double requestsPerSecond, long nowMillis) {
        if (!isCold(server, nowMillis)) {
            return 0;
        }
        State state = refill(server, requestsPerSecond, nowMillis);
        return state.earning
                ? (long) Math.ceil((MAX_TOKENS - state.tokens) / tokensPerSecond(requestsPerSecond) * MILLIS_PER_SECOND)
                : Math.max(remainingMillis(server, nowMillis), state.down ? CHECK_INTERVAL_MILLIS : 0);
    }

    private State refill(long server, double requestsPerSecond, long nowMillis) {
        State state = stateOf(server, nowMillis);
        boolean earnsNow = isHolder(server, requestsPerSecond);
        if (!earnsNow || !state.earning) {
            // Hosts that start together would all have their first token at the same moment.
            boolean spread = earnsNow && !hosts.isReliable();
            state.tokens = spread ? -StableHash.toUnitInterval(StableHash.mix(server, self)) : 0;
        } else {
            double earned = (nowMillis - state.refilledMillis) * tokensPerSecond(requestsPerSecond) / MILLIS_PER_SECOND;
            state.tokens = Math.min(MAX_TOKENS, state.tokens + earned);
        }
        state.earning = earnsNow;
        state.refilledMillis = nowMillis;
        return state;
    }

    private double tokensPerSecond(double requestsPerSecond) {
        return hosts.isReliable()
                ? requestsPerSecond / holders(requestsPerSecond)
                : Math.min(requestsPerSecond, START_TOKENS_PER_SECOND);
    }

    /** Records that this host sends a server a request. */
    public void recordSend(long server) {
        State state = servers.get(server);
        if (state != null) {
            state.tokens -= 1;
        }
    }
}
