package io.heatherloft.router.peers;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.ServerLimitShares;
import io.heatherloft.domain.route.ServerLimitShares.Claim;
import io.heatherloft.domain.route.ServerLimitShares.Observation;
import io.heatherloft.peer.generated.KnowledgeExchange;
import io.heatherloft.peer.generated.LimitClaim;
import io.heatherloft.peer.generated.ServerLimit;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.OptionalDouble;
import java.util.function.IntSupplier;

/**
 * The request rates that backend servers accept from all hosts together, and this host's shares of them.
 *
 * <p>Confined to the loop's thread.
 */
public final class ServerLimits {
    // New knowledge is urgent until it has had the time to reach every host.
    private static final long URGENT_MILLIS = 2_000L;
    // Limits the size of a message to a few kilobytes; few servers name a limit.
    private static final int MAX_LIMITS_PER_MESSAGE = 32;

    private final Loop loop;
    private final IntSupplier hostCount;
    private final ServerLimitShares shares;

    /**
     * Creates an instance without limits.
     *
     * @param self name of this host
     * @param hostCount supplies the number of known hosts, including this one
     */
    ServerLimits(Loop loop, String self, IntSupplier hostCount) {
        this.loop = loop;
        this.hostCount = hostCount;
        this.shares = new ServerLimitShares(StableHash.of(self));
    }

    /**
     * Records what a response of a server says of its limit.
     *
     * @param requestsPerSecond the limit; empty if the response names none
     * @param sentMillis time at which the request was sent
     * @return true if a limit was named for the first time, changed or lifted
     */
    public boolean onResponse(BackendServerState server, OptionalDouble requestsPerSecond, long sentMillis) {
        return shares.recordResponse(server.incarnationHash(), requestsPerSecond, sentMillis, loop.nowMillis());
    }

    /** Returns true if this host may send the server a request now. */
    public boolean mayUse(BackendServerState server) {
        return shares.mayUse(server.incarnationHash(), hostCount.getAsInt(), loop.nowMillis());
    }

    /** Records that a request is sent to a server. */
    public void onSend(BackendServerState server) {
        shares.recordSend(server.incarnationHash());
    }

    /** Returns true if this host has recently learned something that other hosts must learn soon. */
    boolean isUrgent() {
        return loop.nowMillis() - shares.lastChangeMillis() <= URGENT_MILLIS;
    }

    /** Adds what this host knows to a message. */
    void addTo(KnowledgeExchange.Builder message) {
        shares.observations(MAX_LIMITS_PER_MESSAGE, loop.nowMillis())
                .forEach(observation -> message.addLimits(encode(observation)));
    }

    private ServerLimit encode(Observation observation) {
        ServerLimit.Builder limit =
                ServerLimit.newBuilder().setServer(observation.server()).setAgeMillis(ageOf(observation.atMillis()));
        observation.requestsPerSecond().ifPresent(limit::setRequestsPerSecond);
        observation
                .claims()
                .forEach(claim -> limit.addClaims(
                        LimitClaim.newBuilder().setHost(claim.host()).setAgeMillis(ageOf(claim.atMillis()))));
        return limit.build();
    }

    private int ageOf(long atMillis) {
        return (int) Math.max(0, loop.nowMillis() - atMillis);
    }

    /** Merges what another host knows. */
    void merge(KnowledgeExchange message) {
        long now = loop.nowMillis();
        message.getLimitsList().forEach(limit -> {
            boolean _changed = shares.merge(
                    new Observation(
                            limit.getServer(),
                            limit.hasRequestsPerSecond()
                                    ? OptionalDouble.of(limit.getRequestsPerSecond())
                                    : OptionalDouble.empty(),
                            now - limit.getAgeMillis(),
                            limit.getClaimsList().stream()
                                    .map(claim -> new Claim(claim.getHost(), now - claim.getAgeMillis()))
                                    .toList()),
                    hostCount.getAsInt(),
                    now);
        });
    }
}
