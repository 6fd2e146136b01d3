package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.ColdServerBound;
import io.heatherloft.domain.route.ServiceDefinition;
import io.heatherloft.peer.generated.HostReport;
import io.heatherloft.router.VirtualLoop;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Fleets in virtual time, without a network, the backend servers of one of whose zones come back cold together. */
final class ColdServerFleetTest {
    private static final double RATE = 7.3;
    private static final ColdServerBound BOUND = new ColdServerBound(1.5, 5);
    private static final long COLD_MILLIS = 3_000L;
    private static final ServiceDefinition SERVICE =
            new ServiceDefinition("llm", "/health", 360, Map.of(), 12, 0L, COLD_MILLIS, RATE);
    private static final int ZONES = 4;
    private static final String RETURNING_ZONE = "z0";
    private static final int REQUESTS_PER_SECOND_AND_HOST = 4;
    private static final long RESPONSE_MILLIS = 60L;
    // Time in which a host learns of a change in the store.
    private static final int MAX_NOTICE_MILLIS = 800;
    // Last part of the cold time, in which all hosts know of it and had the time to earn a token.
    private static final long KNOWN_COLD_MILLIS = 2_000L;
    private static final long CYCLE_MILLIS = 6_000L;

    /** Hosts and servers, and callers whose requests reach any running host. */
    private static final class Fleet {
        private final GossipFleet gossip;
        private final VirtualLoop loop;
        private final Random random;
        private final List<Host> hosts = new ArrayList<>();
        private final List<Server> servers;
        private boolean storeSaysCold = true;
        private boolean calling;

        Fleet(int hostCount, int serverCount, long seed) {
            this.gossip = new GossipFleet(seed, 1_000, new TextFormats(0));
            this.loop = gossip.loop;
            this.random = gossip.random;
            this.servers = IntStream.range(0, serverCount).mapToObj(Server::new).toList();
            IntStream.range(0, hostCount).forEach(index -> hosts.add(new Host("h" + index)));
            hosts.forEach(host -> host.member.startSoon());
        }

        /** Returns a fleet whose hosts know one another. */
        static Fleet settled(int hostCount, int serverCount) {
            Fleet fleet = new Fleet(hostCount, serverCount, hostCount);
            fleet.hosts.forEach(host -> fleet.hosts.forEach(other -> {
                boolean _newer = host.member.reports.add(HostReport.newBuilder()
                        .setHost(other.name)
                        .setAddress(other.name)
                        .build());
            }));
            fleet.loop.runFor(30_000);
            return fleet;
        }

        /** Lets the servers of the zone, which got no requests before, be cold from now on. */
        void returnZone() {
            servers.stream()
                    .filter(server -> server.zone.equals(RETURNING_ZONE))
                    .forEach(Server::start);
            hosts.forEach(host -> loop.schedule(random.nextInt(MAX_NOTICE_MILLIS), () -> host.learnOfReturn(servers)));
        }

        void evacuateZone() {
            hosts.forEach(host -> host.evacuated = true);
        }

        /** Evacuates the zone and lets its servers come back cold, several times. */
        void returnZoneFor(long millis) {
            for (long left = millis; left > 0; left -= CYCLE_MILLIS) {
                evacuateZone();
                loop.runFor(1_000);
                returnZone();
                loop.runFor(CYCLE_MILLIS - 1_000);
            }
        }

        void call() {
            if (!calling) {
                calling = true;
                callNext();
            }
        }

        private void callNext() {
            if (!calling) {
                return;
            }
            hosts.get(random.nextInt(hosts.size())).request();
            double requestsPerMilli = hosts.size() * REQUESTS_PER_SECOND_AND_HOST / 1_000.0;
            loop.schedule(nextDelayMillis(requestsPerMilli), this::callNext);
            // More than one request a millisecond.
            IntStream.range(0, (int) requestsPerMilli)
                    .forEach(_index -> hosts.get(random.nextInt(hosts.size())).request());
        }

        private long nextDelayMillis(double requestsPerMilli) {
            return Math.round(-Math.log(1 - random.nextDouble()) * (1 + (int) requestsPerMilli) / requestsPerMilli);
        }

        void churn() {
            Host host = randomHost();
            if (!host.idle) {
                switch (random.nextInt(4)) {
                    case 0 -> host.restart();
                    case 1 -> gossip.moveToGroup(host.name, host.name.hashCode());
                    case 2 -> gossip.moveToGroup(host.name, 0);
                    default -> {
                        host.halt();
                        loop.schedule(random.nextInt(80_000), host::resume);
                    }
                }
            }
            loop.schedule(random.nextInt(60_000 / hosts.size()), this::churn);
        }

        void crashZone() {
            servers.stream()
                    .filter(server -> server.zone.equals(RETURNING_ZONE))
                    .forEach(server -> server.down = true);
        }

        /** Starts the servers of the zone again under their IDs, while the store does not respond. */
        void startZoneAtItsAddresses() {
            servers.stream()
                    .filter(server -> server.zone.equals(RETURNING_ZONE))
                    .forEach(Server::start);
        }

        Host randomHost() {
            return hosts.get(random.nextInt(hosts.size()));
        }

        void checkBound() {
            assertWithMessage("%s hosts, most requests to a cold server in a second", hosts.size())
                    .that((double) mostInSecond())
                    .isAtMost(BOUND.requestsInSecond(RATE));
        }

        private int mostInSecond() {
            return servers.stream()
                    .mapToInt(server -> server.mostInSecond)
                    .max()
                    .orElse(0);
        }

        /** Returns the average rate of requests to cold servers while they were cold. */
        double coldRate() {
            return servers.stream()
                    .filter(server -> server.coldPeriods > 0)
                    .mapToDouble(server -> server.coldArrivals * 1_000.0 / KNOWN_COLD_MILLIS / server.coldPeriods)
                    .average()
                    .orElse(0);
        }

        private final class Server {
            private final String id;
            private final String zone;
            private final Deque<Long> lastSecond = new ArrayDeque<>();
            private boolean down;
            private long coldUntilMillis;
            private int mostInSecond;
            private int coldArrivals;
            private int coldPeriods;

            Server(int index) {
                this.id = "s" + index;
                this.zone = "z" + index % ZONES;
            }

            void start() {
                down = false;
                coldPeriods++;
                coldUntilMillis = loop.nowMillis() + COLD_MILLIS;
                lastSecond.clear();
            }

            long coldMillis() {
                return Math.max(0, coldUntilMillis - loop.nowMillis());
            }

            void arrive() {
                if (coldMillis() > 0) {
                    if (coldMillis() <= KNOWN_COLD_MILLIS) {
                        coldArrivals++;
                    }
                    lastSecond.add(loop.nowMillis());
                    while (lastSecond.getFirst() <= loop.nowMillis() - 1_000) {
                        lastSecond.removeFirst();
                    }
                    mostInSecond = Math.max(mostInSecond, lastSecond.size());
                }
            }

            BackendRegistration entry(long sequence, long coldMillis) {
                return new BackendRegistration(
                        id, 1L, "llm", "127.0.0.1:1", zone, "v1", 12, false, sequence, coldMillis);
            }
        }

        private final class Host {
            private final String name;
            private GossipFleet.Member member;
            private ColdServerGuard guard;
            private boolean evacuated;
            private boolean idle;

            Host(String name) {
                this.name = name;
                create();
            }

            private void create() {
                member = gossip.new Member(name);
                guard = new ColdServerGuard(
                        loop,
                        member.reports,
                        member.registry,
                        _service -> Optional.of(SERVICE),
                        Optional.of(BOUND),
                        name,
                        member.log,
                        new MetricRegistry());
                guard.useUpCheck(server -> loop.schedule(gossip.networkDelayMillis(), () -> {
                    if (!find(server).down) {
                        guard.onConnected(server);
                    }
                }));
                servers.forEach(server -> member.registry.update(server.entry(1, 0), StoreRevision.ofFirstEra(1)));
            }

            /** Replaces the process by one that knows nothing. */
            void restart() {
                member.stop();
                create();
                member.start();
            }

            /** Stops the process without a trace, or halts it for a time. */
            void halt() {
                idle = true;
                member.stop();
                gossip.moveToGroup(name, name.hashCode());
            }

            void resume() {
                idle = false;
                gossip.moveToGroup(name, 0);
                member.start();
            }

            void learnOfReturn(List<Server> all) {
                if (evacuated && !idle) {
                    evacuated = false;
                    guard.onEvacuationEnded(RETURNING_ZONE);
                    all.stream()
                            .filter(server -> server.zone.equals(RETURNING_ZONE))
                            .forEach(server -> loop.schedule(
                                    random.nextInt(MAX_NOTICE_MILLIS),
                                    () -> member.registry.update(
                                            server.entry(loop.nowMillis(), storeSaysCold ? server.coldMillis() : 0),
                                            StoreRevision.ofFirstEra(loop.nowMillis()))));
                }
            }

            private Server find(BackendServerState state) {
                return servers.get(Integer.parseInt(state.entry().id().substring(1)));
            }

            void request() {
                if (idle) {
                    return;
                }
                List<BackendServerState> ready = member.registry.ready("llm").stream()
                        .filter(server ->
                                !evacuated || !server.entry().availabilityZone().equals(RETURNING_ZONE))
                        .filter(server -> server.health().isAvailable(loop.nowMillis()))
                        .toList();
                // Servers that have just started are idle.
                guard.usable("llm", 1, ready, Map.of()).stream()
                        .min(Comparator.comparing((BackendServerState server) ->
                                        find(server).coldMillis() == 0)
                                .thenComparing(BackendServerState::outstanding)
                                .thenComparing(_server -> random.nextInt()))
                        .ifPresent(this::send);
            }

            private void send(BackendServerState server) {
                server.onRequestStart();
                guard.onSend(server);
                loop.schedule(gossip.networkDelayMillis(), () -> {
                    if (find(server).down) {
                        server.health().recordUnreachable(loop.nowMillis());
                        server.onRequestEnd();
                        guard.onFailure(server);
                        return;
                    }
                    find(server).arrive();
                    loop.schedule(RESPONSE_MILLIS, () -> {
                        server.health().recordSuccess();
                        server.onRequestEnd();
                        guard.onResponse(server, OptionalLong.of(find(server).coldMillis()));
                    });
                });
            }
        }
    }

    @Nested
    final class Trial {
        private int servers(int n) {
            return n == 6 ? 8 : n == 70 ? 98 : 80;
        }

        private void print(String what, Fleet fleet) {
            System.out.println(
                    what + " " + fleet.hosts.size() + " most " + fleet.mostInSecond() + " rate " + fleet.coldRate());
            fleet.servers.forEach(x -> {
                x.mostInSecond = 0;
                x.coldArrivals = 0;
                x.coldPeriods = 0;
            });
        }

        @Test
        void bounds() {
            for (int n : new int[] {6, 70, 360}) {
                long t0 = System.nanoTime();
                Fleet fleet = new Fleet(n, servers(n), n);
                fleet.call();
                for (int t = 0; t < 3; t++) {
                    fleet.returnZoneFor(6_000);
                    print("start " + t, fleet);
                }
                fleet.calling = false;
                fleet.loop.runFor(42_000);
                for (int t = 0; t < 12; t++) {
                    System.out.println(fleet.hosts.stream()
                            .mapToInt(h -> h.member.reports.remembered().size())
                            .summaryStatistics());
                    fleet.call();
                    fleet.returnZoneFor(6_000);
                    print("start, later " + t, fleet);
                    fleet.calling = false;
                    fleet.loop.runFor(6_000);
                }
                fleet.call();
                fleet.storeSaysCold = false;
                fleet.returnZoneFor(18_000);
                print("settled, 0", fleet);
                for (int i = 0; i < n / 2; i++) {
                    fleet.gossip.moveToGroup("h" + i, 1);
                }
                for (int t = 0; t < 15; t++) {
                    fleet.returnZoneFor(6_000);
                    print("divided " + t, fleet);
                    fleet.calling = false;
                    fleet.loop.runFor(20_000);
                    fleet.call();
                }
                for (int i = 0; i < n / 2; i++) {
                    fleet.gossip.moveToGroup("h" + i, 0);
                }
                for (int t = 0; t < 5; t++) {
                    fleet.returnZoneFor(6_000);
                    print("joined " + t, fleet);
                }
                System.out.println(n + " took s " + (System.nanoTime() - t0) / 1_000_000_000);
            }
        }

        @Test
        void churn() {
            for (int n : new int[] {6, 70, 360}) {
                long t0 = System.nanoTime();
                Fleet fleet = Fleet.settled(n, servers(n));
                fleet.call();
                fleet.churn();
                fleet.checkBound();
                for (int t = 0; t < 8; t++) {
                    fleet.returnZoneFor(6_000);
                    print("churn " + t, fleet);
                }
                System.out.println(n + " took s " + (System.nanoTime() - t0) / 1_000_000_000);
            }
        }

        @Test
        void crashes() {
            for (int n : new int[] {6, 70, 360}) {
                Fleet fleet = Fleet.settled(n, servers(n));
                fleet.call();
                for (int t : new int[] {3, 5, 10, 20, 30}) {
                    fleet.crashZone();
                    fleet.loop.runFor(t * 1_000L);
                    fleet.startZoneAtItsAddresses();
                    fleet.loop.runFor(10_000);
                    print("crash " + t, fleet);
                }
            }
        }
    }
}
