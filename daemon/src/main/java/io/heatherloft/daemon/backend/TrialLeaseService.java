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
 * Lets requests that are suspected of crashing backend servers run one at a time: two suspects never share a backend
 * server, so that a crash tells which of them caused it, and two sends of one suspect never run at once, so that they
 * cannot take a backend server each.
 *
 * <p>Each resource, a backend server or a request's fingerprint, has one arbiter among the hosts, found by rendezvous
 * hashing. Invariant: an arbiter grants a resource to one holder at a time, for a bounded time. Confined to the loop's
 * thread.
 */
public final class TrialLeaseService {
    private static final long LEASE_MILLIS = 30_000L;

    private final Loop loop;
    private final FleetState fleet;
    private final Gossiper gossiper;
    private final Map<String, Lease> leases = new HashMap<>();

    /** Creates the arbiter of a host, which is also how the host asks other arbiters. */
    public TrialLeaseService(Loop loop, FleetState fleet, Gossiper gossiper) {
        this.loop = loop;
        this.fleet = fleet;
        this.gossiper = gossiper;
    }

    /** Asks for a resource; completes with false if another holder has it or the arbiter does not answer. */
    public CompletableFuture<Boolean> reserve(String resource, String holder) {
        CompletableFuture<Boolean> granted = new CompletableFuture<>();
        Futures.onComplete(
                requestLease(resource, holder, false),
                (reply, failure) -> granted.complete(
                        failure == null && reply.getAcknowledgement().getAccepted()));
        return granted;
    }

    /** Gives a resource back. */
    public void release(String resource, String holder) {
        Futures.onComplete(requestLease(resource, holder, true), (_reply, _failure) -> {});
    }

    /** Decides on the wish of a host. */
    public PeerReply handle(ReserveTrial wish) {
        long now = loop.nowMillis();
        leases.values().removeIf(grant -> grant.untilMillis() <= now);
        Lease present = leases.get(wish.getResource());
        boolean free = present == null || present.holder().equals(wish.getHolder());
        if (free && wish.getRelease()) {
            leases.remove(wish.getResource());
        } else if (free) {
            leases.put(wish.getResource(), new Lease(wish.getHolder(), now + LEASE_MILLIS));
        }
        return Gossiper.acknowledge(free);
    }

    private CompletableFuture<PeerReply> requestLease(String resource, String holder, boolean release) {
        ReserveTrial wish = ReserveTrial.newBuilder()
                .setResource(resource)
                .setHolder(holder)
                .setRelease(release)
                .build();
        Member arbiter = fleet.members().ownerOf("trial/" + resource);
        if (fleet.members().isSelf(arbiter)) {
            return CompletableFuture.completedFuture(handle(wish));
        }
        return gossiper.call(arbiter.address(), PeerRequest.newBuilder().setReserve(wish));
    }

    private record Lease(String holder, long untilMillis) {}
}
