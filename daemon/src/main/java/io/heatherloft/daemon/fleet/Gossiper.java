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
 * Finds out which hosts live and spreads news between them.
 *
 * <p>Every message between hosts, of whatever kind, carries a header of bounded size. Invariants: one probe a round
 * whatever the number of hosts; news is passed on at once to a few hosts, and again with the following rounds.
 * Confined to the loop's thread.
 */
public final class Gossiper {
    /** Time between rounds, in milliseconds. */
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

    /** Calls back with the address of a host that has a higher configuration generation. */
    public void onNewerGeneration(Consumer<String> listener) {
        onNewerGeneration = listener;
    }

    /** Starts the rounds. */
    public void start() {
        rounds = loop.repeat(ROUND_INTERVAL_MILLIS, this::runRound);
        runRound();
    }

    /** Announces that this host stops, and ends the rounds. */
    public void leave() {
        fleet.members().leave();
        disseminate();
        rounds.cancel();
    }

    /** Returns the header for a message. */
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

    /** Merges the header of a message. */
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

    /** Sends a request with a header, and merges the header of the reply. */
    public CompletableFuture<PeerReply> call(String address, PeerRequest.Builder request) {
        CompletableFuture<PeerReply> reply =
                network.call(address, request.setGossip(header()).build());
        Futures.onResult(reply, answer -> merge(answer.getGossip()));
        return reply;
    }

    /** Probes a member for another host. */
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

    /** Returns a reply that only says whether something was done. */
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
        List<Member> helpers = fleet.members().randomAlive(INDIRECT_PROBES, member.id());
        AtomicInteger open = new AtomicInteger(helpers.size());
        if (helpers.isEmpty()) {
            fleet.members().suspect(member.id(), loop.nowMillis());
        }
        helpers.forEach(helper -> {
            PeerRequest.Builder request = PeerRequest.newBuilder()
                    .setProbeThrough(ProbeThrough.newBuilder().setTargetId(member.id()));
            Futures.onComplete(call(helper.address(), request), (reply, failure) -> {
                boolean reached = failure == null && reply.getAcknowledgement().getAccepted();
                if (!reached && open.decrementAndGet() == 0) {
                    counters.count("gossip.suspicions");
                    fleet.members().suspect(member.id(), loop.nowMillis());
                }
            });
        });
    }

    // Hosts that the host list shows and that are not members are tried one a round; they join by answering.
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
            Futures.onComplete(probe(unknown.get(unknownHostIndex % unknown.size()).peerAddress()), (_reply, _failure) -> {});
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
