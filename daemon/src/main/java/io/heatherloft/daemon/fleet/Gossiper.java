package io.heatherloft.daemon.fleet;

import io.heatherloft.daemon.Counters;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.peer.MembershipCodec;
import io.heatherloft.peer.PeerNetwork;
import io.heatherloft.peer.generated.Acknowledgement;
import io.heatherloft.peer.generated.Gossip;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.peer.generated.Probe;
import io.heatherloft.peer.generated.ProbeThrough;
import io.heatherloft.peer.generated.ShardOwnerEntry;
import io.heatherloft.ports.hosts.HostListing;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Detects failed hosts and disseminates membership, facts, shard owners and the configuration generation by gossip.
 *
 * <p>Every message between hosts carries a gossip header of bounded size. Invariants: each round probes at most one
 * member and one listed host that is not a live member, regardless of the size of the fleet; a new fact or configuration
 * is sent to a few hosts immediately, and again with the following rounds. Confined to the event loop thread.
 */
public final class Gossiper {
    /** Interval between rounds, in milliseconds. */
    public static final long ROUND_INTERVAL_MILLIS = 1_000L;

    private static final int MEMBERS_PER_MESSAGE = 8;
    private static final int FACTS_PER_MESSAGE = 8;
    private static final int INDIRECT_PROBES = 2;
    private static final int GOSSIP_FANOUT = 3;

    private final Loop loop;
    private final PeerNetwork network;
    private final FleetState fleet;
    private final Counters counters;
    private Consumer<String> onNewerGeneration = _address -> {};
    private Loop.Cancellation rounds = () -> {};
    private int unknownHostIndex;
    private boolean disseminationScheduled;

    /** Creates a gossiper that is not started. */
    public Gossiper(Loop loop, PeerNetwork network, FleetState fleet, Counters counters) {
        this.loop = loop;
        this.network = network;
        this.fleet = fleet;
        this.counters = counters;
        fleet.onNewFact(_fact -> scheduleDissemination());
        fleet.configuration().onChange(this::scheduleDissemination);
    }

    /** Sets the listener that receives the address of a host with a higher configuration generation. */
    public void onNewerGeneration(Consumer<String> listener) {
        onNewerGeneration = listener;
    }

    /** Starts the periodic rounds. */
    public void start() {
        rounds = loop.repeat(ROUND_INTERVAL_MILLIS, this::runRound);
        runRound();
    }

    /** Announces that this host is leaving the fleet and stops the rounds. */
    public void leave() {
        fleet.members().leave();
        disseminate();
        rounds.cancel();
    }

    /** Builds the gossip header of an outgoing message. */
    public Gossip header() {
        Gossip.Builder gossip = Gossip.newBuilder()
                .setSelf(MembershipCodec.encode(fleet.members().self()))
                .setGeneration(fleet.configuration().generation());
        fleet.members().selectForGossip(MEMBERS_PER_MESSAGE).stream()
                .map(MembershipCodec::encode)
                .forEach(gossip::addMembers);
        fleet.facts().selectForGossip(FACTS_PER_MESSAGE).stream()
                .map(MembershipCodec::encode)
                .forEach(gossip::addFacts);
        fleet.shardOwners()
                .all()
                .forEach(owner -> gossip.addOwners(ShardOwnerEntry.newBuilder()
                        .setShard(owner.shard())
                        .setTerm(owner.term())
                        .setHostId(owner.hostId())));
        return gossip.build();
    }

    /** Merges the gossip header of a received message. */
    public void merge(Gossip gossip) {
        long now = loop.nowMillis();
        Member sender = MembershipCodec.decode(gossip.getSelf());
        fleet.members().merge(sender, now);
        gossip.getMembersList().stream().map(MembershipCodec::decode).forEach(member -> fleet.members()
                .merge(member, now));
        gossip.getFactsList().stream()
                .flatMap(entry -> MembershipCodec.decode(entry).stream())
                .forEach(fleet::addFact);
        gossip.getOwnersList().forEach(owner -> fleet.shardOwners()
                .merge(new ShardOwners.Announcement(owner.getShard(), owner.getTerm(), owner.getHostId())));
        if (gossip.getGeneration() > fleet.configuration().generation()) {
            onNewerGeneration.accept(sender.address());
        }
    }

    /** Sends a request with a gossip header and merges the header of the reply. */
    public CompletableFuture<PeerReply> call(String address, PeerRequest.Builder request) {
        CompletableFuture<PeerReply> reply =
                network.call(address, request.setGossip(header()).build());
        Futures.onResult(reply, answer -> merge(answer.getGossip()));
        return reply;
    }

    /** Probes a member on behalf of another host. */
    public CompletableFuture<PeerReply> handleProbeThrough(ProbeThrough request) {
        CompletableFuture<PeerReply> result = new CompletableFuture<>();
        fleet.members()
                .peer(request.getTargetId())
                .ifPresentOrElse(
                        target -> Futures.onComplete(
                                probe(target.address()),
                                (_reply, failure) -> result.complete(acknowledge(failure == null))),
                        () -> result.complete(acknowledge(false)));
        return result;
    }

    /** Returns a reply that only states whether the request was accepted. */
    public static PeerReply acknowledge(boolean accepted) {
        return PeerReply.newBuilder()
                .setAcknowledgement(Acknowledgement.newBuilder().setAccepted(accepted))
                .build();
    }

    private void runRound() {
        counters.count("gossip.rounds");
        fleet.members().processTimeouts(loop.nowMillis());
        fleet.facts().expire(loop.nowMillis());
        fleet.members().nextToProbe().ifPresent(this::probeMember);
        probeUnknownHost();
    }

    private void probeMember(Member member) {
        Futures.onComplete(probe(member.address()), (_reply, failure) -> {
            if (failure != null) {
                probeIndirectly(member);
            }
        });
    }

    private void probeIndirectly(Member member) {
        List<Member> relays = fleet.members().randomAlive(INDIRECT_PROBES, member.id());
        AtomicInteger unansweredProbes = new AtomicInteger(relays.size());
        if (relays.isEmpty()) {
            fleet.members().suspect(member.id(), loop.nowMillis());
        }
        relays.forEach(relay -> {
            PeerRequest.Builder request = PeerRequest.newBuilder()
                    .setProbeThrough(ProbeThrough.newBuilder().setTargetId(member.id()));
            Futures.onComplete(call(relay.address(), request), (reply, failure) -> {
                boolean reached = failure == null && reply.getAcknowledgement().getAccepted();
                if (!reached && unansweredProbes.decrementAndGet() == 0) {
                    counters.count("gossip.suspicions");
                    fleet.members().suspect(member.id(), loop.nowMillis());
                }
            });
        });
    }

    // Each round probes one host that is in the host list but is not a live member; it joins the fleet by replying.
    private void probeUnknownHost() {
        List<HostListing.EntryHost> unknown = fleet.hostListing().entryHosts().stream()
                .filter(host -> !host.id().equals(fleet.members().self().id()))
                .filter(host -> fleet.members()
                        .peer(host.id())
                        .map(member -> member.status() == Member.Status.DEAD)
                        .orElse(true))
                .toList();
        if (!unknown.isEmpty()) {
            unknownHostIndex++;
            Futures.onComplete(
                    probe(unknown.get(unknownHostIndex % unknown.size()).peerAddress()), (_reply, _failure) -> {});
        }
    }

    private void scheduleDissemination() {
        if (!disseminationScheduled) {
            disseminationScheduled = true;
            loop.execute(() -> {
                disseminationScheduled = false;
                disseminate();
            });
        }
    }

    private void disseminate() {
        fleet.members()
                .randomAlive(GOSSIP_FANOUT, fleet.members().self().id())
                .forEach(peer -> Futures.onComplete(probe(peer.address()), (_reply, _failure) -> {}));
    }

    private CompletableFuture<PeerReply> probe(String address) {
        return call(address, PeerRequest.newBuilder().setProbe(Probe.getDefaultInstance()));
    }
}
