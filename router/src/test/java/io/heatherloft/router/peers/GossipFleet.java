package io.heatherloft.router.peers;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.store.KeyValueStore;
import io.heatherloft.router.VirtualLoop;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.FleetView;
import io.heatherloft.router.fleet.SessionVersions;
import io.heatherloft.router.fleet.StoredFormats;
import io.heatherloft.router.fleet.VersionPolicies;
import io.heatherloft.router.log.DecisionLog;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Hosts that gossip in virtual time, without a network. Confined to the test's thread. */
final class GossipFleet {
    private static final int MAX_START_DELAY_MILLIS = 500;
    private static final int MAX_NETWORK_DELAY_MILLIS = 3;

    final VirtualLoop loop = new VirtualLoop();
    final Random random;
    private final long sessionIdleMillis;
    private final StoredFormats formats;
    private final Map<String, FleetGossip> gossips = new HashMap<>();
    private final Map<String, Integer> groups = new HashMap<>();
    /** Hosts that exchange no messages with others. */
    final Set<String> unreachable = new HashSet<>();
    /** Messages and their bytes, of all hosts. */
    long messagesSent;

    long bytesSent;

    GossipFleet(long seed, long sessionIdleMillis, StoredFormats formats) {
        this.random = new Random(seed);
        this.sessionIdleMillis = sessionIdleMillis;
        this.formats = formats;
    }

    /** Lets a host reach only the hosts of the same group, from now on; all are in group 0 at first. */
    void moveToGroup(String name, int group) {
        groups.put(name, group);
    }

    private CompletableFuture<PeerReply> call(String caller, String address, PeerRequest request) {
        if (unreachable.contains(caller) || unreachable.contains(address)) {
            return CompletableFuture.failedFuture(new IllegalStateException("unreachable"));
        }
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        if (!groups.getOrDefault(caller, 0).equals(groups.getOrDefault(address, 0))) {
            return reply;
        }
        countMessage(request.getSerializedSize());
        loop.schedule(
                networkDelayMillis(),
                () -> Futures.onComplete(gossips.get(address).handle(request), (received, _failure) -> {
                    countMessage(received.getSerializedSize());
                    loop.schedule(networkDelayMillis(), () -> reply.complete(received));
                }));
        return reply;
    }

    void countMessage(int bytes) {
        messagesSent++;
        bytesSent += bytes;
    }

    int networkDelayMillis() {
        return 1 + random.nextInt(MAX_NETWORK_DELAY_MILLIS);
    }

    /** What a host knows, and its gossip. A member with the name of another one replaces it. */
    final class Member {
        final String name;
        final VersionPolicies versions = new VersionPolicies(loop, new SessionVersions(sessionIdleMillis));
        final BackendRegistry registry;
        final FleetView view;
        final HostReports reports;
        final DecisionLog log;
        private final FleetGossip gossip;

        Member(String name) {
            this(name, new UnresponsiveStore());
        }

        Member(String name, KeyValueStore store) {
            this.name = name;
            MetricRegistry metrics = new MetricRegistry();
            this.log = new DecisionLog(loop, name, metrics, _line -> true);
            this.registry = new BackendRegistry(loop, log);
            this.view = new FleetView(
                    loop, store, formats, registry, versions, log, metrics, new Random(random.nextLong()));
            this.reports = new HostReports(loop, name);
            this.gossip = new FleetGossip(
                    loop,
                    (peer, request) -> call(name, peer, request),
                    view,
                    registry,
                    versions,
                    reports,
                    log,
                    new Random(random.nextLong()),
                    name,
                    name,
                    List.of("h0", "h1", "h2"));
            gossips.put(name, gossip);
        }

        void start() {
            gossip.start();
        }

        void startSoon() {
            loop.schedule(random.nextInt(MAX_START_DELAY_MILLIS), gossip::start);
        }

        void stop() {
            gossip.stop();
        }
    }
}
