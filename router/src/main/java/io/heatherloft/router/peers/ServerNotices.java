package io.heatherloft.router.peers;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.ServerLimitShares;
import io.heatherloft.domain.route.ServerLimitShares.Claim;
import io.heatherloft.domain.route.ServerLimitShares.Observation;
import io.heatherloft.domain.route.UnavailableServers;
import io.heatherloft.domain.route.UnavailableServers.Departure;
import io.heatherloft.domain.route.UnavailableServers.Rest;
import io.heatherloft.peer.generated.KnowledgeExchange;
import io.heatherloft.peer.generated.LimitClaim;
import io.heatherloft.peer.generated.ServerDeparture;
import io.heatherloft.peer.generated.ServerLimit;
import io.heatherloft.peer.generated.ServerRest;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.IntSupplier;

/**
 * What backend servers say of themselves in their responses: that they limit their request rate, that they leave, or that they
 * want no requests for some time.
 *
 * <p>Limits and departures concern all hosts, which tell each other. A rest concerns the host that the server has asked for it;
 * if that host is not known, because it only connected another one, it concerns all. Confined to the loop's thread.
 */
public final class ServerNotices {
    // New knowledge is urgent until it has had the time to reach every host.
    private static final long URGENT_MILLIS = 2_000L;
    // Limits the size of a message to a few kilobytes; few servers name a limit.
    private static final int MAX_LIMITS_PER_MESSAGE = 32;
    private static final int MAX_DEPARTURES_PER_MESSAGE = 64;

    private final Loop loop;
    private final IntSupplier hostCount;
    private final ServerLimitShares shares;
    private final UnavailableServers unavailable = new UnavailableServers();

    /**
     * Creates an instance without notices.
     *
     * @param self name of this host
     * @param hostCount supplies the number of known hosts, including this one
     */
    ServerNotices(Loop loop, String self, IntSupplier hostCount) {
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

    /**
     * Records that a response of a server says that it leaves.
     *
     * @return true if this was not known
     */
    public boolean onDeparture(BackendServerState server) {
        long now = loop.nowMillis();
        return unavailable.recordDeparture(new Departure(server.incarnationHash(), now), now);
    }

    /**
     * Records that a server has turned a request of this host away and wants no others for some time.
     *
     * @param relayed true if another host connected this one, since the server takes the requests for that host's
     * @return true if it has not been at rest
     */
    public boolean onRest(BackendServerState server, long restMillis, boolean relayed) {
        long now = loop.nowMillis();
        boolean first = unavailable.recordRest(server.incarnationHash(), restMillis, now);
        if (relayed) {
            unavailable.recordSharedRest(new Rest(server.incarnationHash(), restMillis), now);
        }
        return first;
    }

    /** Returns those servers that do not leave; if all do, those that may still be used. */
    public List<BackendServerState> staying(List<BackendServerState> servers) {
        long now = loop.nowMillis();
        List<BackendServerState> staying = servers.stream()
                .filter(server -> !unavailable.isLeaving(server.incarnationHash(), now))
                .toList();
        return !staying.isEmpty()
                ? staying
                : servers.stream()
                        .filter(server -> unavailable.isLastResort(server.incarnationHash(), now))
                        .toList();
    }

    /** Returns true if this host may send the server a request now, as far as its limit and its rest allow. */
    public boolean mayUse(BackendServerState server) {
        return remainingRestMillis(server) == 0
                && shares.mayUse(server.incarnationHash(), hostCount.getAsInt(), loop.nowMillis());
    }

    /** Returns the time until a server accepts requests of this host again; 0 if it is not at rest. */
    public long remainingRestMillis(BackendServerState server) {
        return unavailable.remainingRestMillis(server.incarnationHash(), loop.nowMillis());
    }

    /** Records that a request is sent to a server. */
    public void onSend(BackendServerState server) {
        shares.recordSend(server.incarnationHash());
    }

    /** Returns true if this host has recently learned something that other hosts must learn soon. */
    boolean isUrgent() {
        long lastChangeMillis = Math.max(shares.lastChangeMillis(), unavailable.lastChangeMillis());
        return loop.nowMillis() - lastChangeMillis <= URGENT_MILLIS;
    }

    /** Adds what this host knows to a message. */
    void addTo(KnowledgeExchange.Builder message) {
        shares.observations(MAX_LIMITS_PER_MESSAGE, loop.nowMillis())
                .forEach(observation -> message.addLimits(encode(observation)));
        unavailable
                .departures(MAX_DEPARTURES_PER_MESSAGE, loop.nowMillis())
                .forEach(departure -> message.addDepartures(ServerDeparture.newBuilder()
                        .setServer(departure.server())
                        .setAgeMillis(ageOf(departure.atMillis()))));
        unavailable
                .sharedRests(MAX_LIMITS_PER_MESSAGE, loop.nowMillis())
                .forEach(rest -> message.addRests(
                        ServerRest.newBuilder().setServer(rest.server()).setRemainingMillis((int)
                                rest.remainingMillis())));
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
        message.getDeparturesList().forEach(departure -> {
            boolean _new = unavailable.recordDeparture(
                    new Departure(departure.getServer(), now - departure.getAgeMillis()), now);
        });
        message.getRestsList()
                .forEach(rest ->
                        unavailable.recordSharedRest(new Rest(rest.getServer(), rest.getRemainingMillis()), now));
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
