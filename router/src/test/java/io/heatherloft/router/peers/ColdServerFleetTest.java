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
    // Of RequestExecution.
    private static final int MAX_CONNECT_FAILURES = 3;
    private static final long RESPONSE_MILLIS = 60L;
    // Time in which a host learns of a change in the store.
    private static final int MAX_NOTICE_MILLIS = 800;
    // Last part of the cold time, in which all hosts know of it and had the time to earn a token.
    private static final long KNOWN_COLD_MILLIS = 2_000L;
    // After which 360 hosts rely on their lists of hosts, if these are complete from the start.
    private static final long SETTLE_MILLIS = 23_000L;
    private static final long CYCLE_MILLIS = 6_000L;

    /** Hosts and servers, and callers whose requests reach any running host. */
    private static final class Fleet {
        private final GossipFleet gossip;
        private final VirtualLoop loop;
        private final Random random;
        private final List<Host> hosts = new ArrayList<>();
        private final List<Server> servers;
        private boolean storeSaysCold = true;

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
            fleet.loop.runFor(SETTLE_MILLIS);
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

        /** Sends requests from now on. */
        void call() {
            hosts.get(random.nextInt(hosts.size())).request();
            double requestsPerMilli = hosts.size() * REQUESTS_PER_SECOND_AND_HOST / 1_000.0;
            loop.schedule(nextDelayMillis(requestsPerMilli), this::call);
            // More than one request a millisecond.
            IntStream.range(0, (int) requestsPerMilli)
                    .forEach(_index -> hosts.get(random.nextInt(hosts.size())).request());
        }

        private long nextDelayMillis(double requestsPerMilli) {
            return Math.round(-Math.log(1 - random.nextDouble()) * (1 + (int) requestsPerMilli) / requestsPerMilli);
        }

        /** Lets a host start, freeze or die, be cut off or connected again now, and others later. */
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

            boolean isBusy() {
                return !down && coldMillis() == 0;
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
                request(0);
            }

            private void request(int connectFailures) {
                if (idle || connectFailures > MAX_CONNECT_FAILURES) {
                    return;
                }
                List<BackendServerState> ready = member.registry.ready("llm").stream()
                        .filter(server ->
                                !evacuated || !server.entry().availabilityZone().equals(RETURNING_ZONE))
                        .filter(server -> server.health().isAvailable(loop.nowMillis()))
                        .toList();
                // Servers that are down or have just started are idle.
                guard.usable("llm", 1, ready, Map.of()).stream()
                        .min(Comparator.comparing((BackendServerState server) ->
                                        find(server).isBusy())
                                .thenComparing(BackendServerState::outstanding)
                                .thenComparing(_server -> random.nextInt()))
                        .ifPresent(server -> send(server, connectFailures));
            }

            private void send(BackendServerState server, int connectFailures) {
                server.onRequestStart();
                guard.onSend(server);
                loop.schedule(gossip.networkDelayMillis(), () -> {
                    if (find(server).down) {
                        server.health().recordUnreachable(loop.nowMillis());
                        server.onRequestEnd();
                        guard.onFailure(server);
                        request(connectFailures + 1);
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

    private static int servers(int hostCount) {
        return hostCount == 70 ? 98 : hostCount == 6 ? 4 : 60;
    }

    /** All hosts together sent servers that had just started as much as they had requests, and the servers crashed. */
    @Nested
    final class AFleet {
        private void keepsToTheBound(int hostCount) {
            Fleet fleet = Fleet.settled(hostCount, servers(hostCount));
            fleet.call();
            fleet.returnZoneFor(2 * CYCLE_MILLIS);
            fleet.storeSaysCold = false;
            fleet.returnZoneFor(CYCLE_MILLIS);
            fleet.checkBound();
            assertWithMessage("%s hosts, requests/s to cold servers", hostCount)
                    .that(fleet.coldRate())
                    .isAtLeast(RATE / 2);
        }

        @Test
        void of_6_hosts_sends_cold_servers_at_most_the_bound_and_half_of_what_they_withstand() {
            keepsToTheBound(6);
        }

        @Test
        void of_70_hosts_sends_cold_servers_at_most_the_bound_and_half_of_what_they_withstand() {
            keepsToTheBound(70);
        }

        @Test
        void of_360_hosts_sends_cold_servers_at_most_the_bound_and_half_of_what_they_withstand() {
            keepsToTheBound(360);
        }
    }

    /** Hosts that do not know one another yet would all be holders of all cold servers. */
    @Nested
    final class AFleetThatStartsAtOnce {
        private void keepsToTheBound(int hostCount, long listsFillMillis) {
            Fleet fleet = new Fleet(hostCount, servers(hostCount), hostCount);
            fleet.call();
            fleet.returnZoneFor(3 * CYCLE_MILLIS);
            fleet.loop.runFor(listsFillMillis);
            fleet.returnZoneFor(2 * CYCLE_MILLIS);
            fleet.checkBound();
        }

        @Test
        void of_6_hosts_keeps_to_the_bound() {
            keepsToTheBound(6, 0);
        }

        @Test
        void of_70_hosts_keeps_to_the_bound() {
            keepsToTheBound(70, 0);
        }

        @Test
        void of_360_hosts_keeps_to_the_bound() {
            keepsToTheBound(360, 50_000);
        }
    }

    @Nested
    final class AFleetWhoseHosts {
        private void startDieFreezeAndAreCutOff(int hostCount, long millis) {
            Fleet fleet = Fleet.settled(hostCount, servers(hostCount));
            fleet.call();
            fleet.churn();
            fleet.returnZoneFor(millis);
            fleet.checkBound();
        }

        private void fallIntoHalves(int hostCount) {
            Fleet fleet = Fleet.settled(hostCount, servers(hostCount));
            fleet.hosts.stream().limit(hostCount / 2).forEach(host -> fleet.gossip.moveToGroup(host.name, 1));
            fleet.call();
            fleet.returnZoneFor(2 * CYCLE_MILLIS);
            // Until each half has forgotten the other one.
            fleet.loop.runFor(280_000);
            fleet.returnZoneFor(6 * CYCLE_MILLIS);
            fleet.hosts.forEach(host -> fleet.gossip.moveToGroup(host.name, 0));
            fleet.returnZoneFor(4 * CYCLE_MILLIS);
            fleet.checkBound();
        }

        @Test
        void start_die_freeze_and_are_cut_off_keeps_to_the_bound_with_6_hosts() {
            startDieFreezeAndAreCutOff(6, 20 * CYCLE_MILLIS);
        }

        @Test
        void start_die_freeze_and_are_cut_off_keeps_to_the_bound_with_70_hosts() {
            startDieFreezeAndAreCutOff(70, 20 * CYCLE_MILLIS);
        }

        @Test
        void start_die_freeze_and_are_cut_off_keeps_to_the_bound_with_360_hosts() {
            startDieFreezeAndAreCutOff(360, 4 * CYCLE_MILLIS);
        }

        @Test
        void fall_into_halves_keeps_to_the_bound() {
            fallIntoHalves(6);
            fallIntoHalves(70);
        }
    }

    /** The hosts learn only from failed requests that the servers are down, and only by trying that they are up. */
    @Nested
    final class ServersThatRestartUnderTheirIds {
        private void getAtMostTheBound(int hostCount, long... downTimes) {
            Fleet fleet = Fleet.settled(hostCount, servers(hostCount));
            fleet.call();
            for (long downMillis : downTimes) {
                fleet.crashZone();
                fleet.loop.runFor(downMillis);
                fleet.startZoneAtItsAddresses();
                fleet.loop.runFor(10_000);
            }
            fleet.checkBound();
            assertWithMessage("%s hosts, requests/s to cold servers", hostCount)
                    .that(fleet.coldRate())
                    .isGreaterThan(0.0);
        }

        @Test
        void get_at_most_the_bound_from_6_hosts() {
            getAtMostTheBound(6, 900, 4_500, 20_000);
        }

        @Test
        void get_at_most_the_bound_from_70_hosts() {
            getAtMostTheBound(70, 4_500, 20_000);
        }

        @Test
        void get_at_most_the_bound_from_360_hosts() {
            getAtMostTheBound(360, 6_000);
        }
    }
}
