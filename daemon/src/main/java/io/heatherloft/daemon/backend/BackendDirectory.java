package io.heatherloft.daemon.backend;

import io.heatherloft.daemon.Counters;
import io.heatherloft.daemon.Ports;
import io.heatherloft.daemon.fleet.FleetState;
import io.heatherloft.domain.configuration.Pool;
import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.ports.hosts.HostListing;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The backend servers, their state as this host sees it, and the queue of each pool.
 *
 * <p>Invariant: a backend server that is leaving, by the host list, by its own word or by a peer's, is given no place.
 * Confined to the loop's thread.
 */
public final class BackendDirectory {
    /** Time between reads of the host list, in milliseconds. */
    public static final long POLL_INTERVAL_MILLIS = 1_000L;

    private static final long LEAVING_FACT_TTL_MILLIS = 60_000L;
    private static final int DEFAULT_LIMIT_PER_SERVER = 64;
    private static final int CORRELATED_LOSS_THRESHOLD = 3;
    private static final long CORRELATION_WINDOW_MILLIS = 2_000L;

    private static final long CLOSED_RETRY_AFTER_MILLIS = 1_000L;

    private final Ports ports;
    private final FleetState fleet;
    private final Counters counters;
    private final Map<String, BackendState> states = new HashMap<>();
    private final Map<String, PoolQueue> queues = new HashMap<>();
    private final ArrayDeque<Loss> recentLosses = new ArrayDeque<>();
    private boolean closed;

    /** Creates an empty directory. */
    public BackendDirectory(Ports ports, FleetState fleet, Counters counters) {
        this.ports = ports;
        this.fleet = fleet;
        this.counters = counters;
    }

    /** Starts to read the host list. */
    public void start() {
        ports.loop().repeat(POLL_INTERVAL_MILLIS, this::readHostList);
        readHostList();
    }

    /** Asks for a place; fails with {@link NoCapacityException}. */
    public CompletableFuture<Slot> acquire(SlotRequest request) {
        if (closed) {
            return CompletableFuture.failedFuture(
                    new NoCapacityException(NoCapacityException.Reason.NO_BACKEND, CLOSED_RETRY_AFTER_MILLIS));
        }
        return queues.computeIfAbsent(request.pool(), this::newQueue).acquire(request);
    }

    /** Gives no more places and refuses all who wait, so that a stopping host leaves nobody without an answer. */
    public void close() {
        closed = true;
        List.copyOf(queues.values()).forEach(PoolQueue::refuseWaiting);
    }

    /** Returns the backend servers of a pool that may be given work. */
    public List<BackendServer> usableServers(String pool) {
        return usableStates(pool).stream().map(BackendState::server).toList();
    }

    /** Records the word of a backend server that it is leaving, and tells the fleet. */
    public void recordLeaving(BackendServer server) {
        if (fleet.addFact(Fact.Kind.BACKEND_LEAVING, server.address(), "", LEAVING_FACT_TTL_MILLIS)) {
            counters.count("backend.leaving");
        }
    }

    /**
     * Records that a backend server was lost with requests in progress.
     *
     * @return true if it is one of several lost at once, for which no single request can be held responsible
     */
    public boolean recordLoss(BackendServer server) {
        long now = ports.loop().nowMillis();
        recentLosses.removeIf(loss -> now - loss.atMillis() > CORRELATION_WINDOW_MILLIS);
        recentLosses.add(new Loss(server.address(), now));
        counters.count("backend.losses");
        long distinct = recentLosses.stream().map(Loss::address).distinct().count();
        return distinct >= CORRELATED_LOSS_THRESHOLD;
    }

    private void readHostList() {
        Futures.onComplete(ports.hosts().read(), (listing, failure) -> {
            if (failure != null) {
                counters.count("hosts.read-failures");
            } else {
                update(listing);
            }
        });
    }

    private void update(HostListing listing) {
        fleet.updateHostListing(listing);
        listing.backendServers().forEach(server -> {
            states.computeIfAbsent(server.address(), _address -> new BackendState(server))
                    .update(server);
            if (server.leaving()) {
                recordLeaving(server);
            }
        });
        List<String> listed =
                listing.backendServers().stream().map(BackendServer::address).toList();
        states.values()
                .removeIf(state ->
                        state.isIdle() && !listed.contains(state.server().address()));
        queues.values().forEach(PoolQueue::dispatch);
    }

    private List<BackendState> usableStates(String pool) {
        Collection<BackendState> all = states.values();
        return all.stream()
                .filter(state -> state.server().pool().equals(pool))
                .filter(state -> fleet.dispatchRules().acceptsNewRequests(state.server()))
                .toList();
    }

    private PoolQueue newQueue(String pool) {
        return new PoolQueue(ports.loop(), counters, () -> usableStates(pool), () -> limitPerServer(pool));
    }

    private int limitPerServer(String pool) {
        return Optional.ofNullable(fleet.configuration().configuration().pools().get(pool))
                .map(Pool::maxInFlightPerServer)
                .orElse(DEFAULT_LIMIT_PER_SERVER);
    }

    private record Loss(String address, long atMillis) {}
}
