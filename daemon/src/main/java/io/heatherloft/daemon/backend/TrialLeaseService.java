package io.heatherloft.daemon.backend;

import io.heatherloft.daemon.fleet.FleetState;
import io.heatherloft.daemon.fleet.Gossiper;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.peer.generated.ReserveTrial;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Grants leases that serialize trials, the requests suspected of crashing backend servers. Two suspected requests never
 * share a backend server, so that a crash can be attributed to one of them, and two attempts of the same suspected
 * request never run concurrently, so that it cannot crash two backend servers at once.
 *
 * <p>Each resource, which is a backend server or a request fingerprint, is assigned to one host, its arbiter, by
 * rendezvous hashing. Invariant: an arbiter leases a resource to at most one holder at a time, for a bounded time.
 * Confined to the event loop thread.
 */
public final class TrialLeaseService {
    private static final long LEASE_MILLIS = 30_000L;

    private final Loop loop;
    private final FleetState fleet;
    private final Gossiper gossiper;
    private final Map<String, Lease> leases = new HashMap<>();

    /** Creates the service of a host, which acts as an arbiter and as a client of the other hosts' arbiters. */
    public TrialLeaseService(Loop loop, FleetState fleet, Gossiper gossiper) {
        this.loop = loop;
        this.fleet = fleet;
        this.gossiper = gossiper;
    }

    /** Reserves a resource; completes with false if another holder has the lease or the arbiter does not respond. */
    public CompletableFuture<Boolean> reserve(String resource, String holder) {
        CompletableFuture<Boolean> granted = new CompletableFuture<>();
        Futures.onComplete(
                requestLease(resource, holder, false),
                (reply, failure) -> granted.complete(
                        failure == null && reply.getAcknowledgement().getAccepted()));
        return granted;
    }

    /** Releases a resource. */
    public void release(String resource, String holder) {
        Futures.onComplete(requestLease(resource, holder, true), (_reply, _failure) -> {});
    }

    /** Handles the request of a host to reserve or release a resource. */
    public PeerReply handle(ReserveTrial request) {
        long now = loop.nowMillis();
        leases.values().removeIf(lease -> lease.untilMillis() <= now);
        Lease current = leases.get(request.getResource());
        boolean free = current == null || current.holder().equals(request.getHolder());
        if (free && request.getRelease()) {
            leases.remove(request.getResource());
        } else if (free) {
            leases.put(request.getResource(), new Lease(request.getHolder(), now + LEASE_MILLIS));
        }
        return Gossiper.acknowledge(free);
    }

    private CompletableFuture<PeerReply> requestLease(String resource, String holder, boolean release) {
        ReserveTrial request = ReserveTrial.newBuilder()
                .setResource(resource)
                .setHolder(holder)
                .setRelease(release)
                .build();
        Member arbiter = fleet.members().ownerOf("trial/" + resource);
        if (fleet.members().isSelf(arbiter)) {
            return CompletableFuture.completedFuture(handle(request));
        }
        return gossiper.call(arbiter.address(), PeerRequest.newBuilder().setReserve(request));
    }

    private record Lease(String holder, long untilMillis) {}
}
