package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.router.VirtualLoop;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Fleets in virtual time, without a network, one of whose servers names the rate of requests that it accepts. */
final class ServerLimitFleetTest {
    private static final String LIMITED = "s0";
    private static final StoreRevision REVISION = StoreRevision.ofFirstEra(1L);
    private static final long RESPONSE_MILLIS = 60L;
    // From this time after the first naming, the server may get one and a half times its limit in 4 s, and five
    // requests, from hosts that were told half a second before or earlier.
    private static final long STABLE_WINDOW_MILLIS = 3_000L;
    private static final long TOLD_MILLIS = 500L;
    private static final long RULE_WINDOW_MILLIS = 4_000L;
    private static final double RULE_FACTOR = 1.5;
    private static final int RULE_TOLERANCE = 5;

    /** Hosts and servers, and callers whose requests reach any host. */
    private static final class Fleet {
        private final GossipFleet gossip;
        private final VirtualLoop loop;
        private final Random random;
        private final int servers;
        private final List<GossipFleet.Member> hosts = new ArrayList<>();
        private final Map<String, Long> toldMillis = new HashMap<>();
        private final List<Long> arrivals = new ArrayList<>();
        private OptionalDouble limit = OptionalDouble.empty();
        private long countedFromMillis = Long.MAX_VALUE;
        private int allArrivals;
        private int refused;

        Fleet(int hostCount, int servers, long seed) {
            this.gossip = new GossipFleet(seed, 1_000, new TextFormats(0));
            this.loop = gossip.loop;
            this.random = gossip.random;
            this.servers = servers;
            IntStream.range(0, hostCount).forEach(index -> hosts.add(startHost("h" + index)));
            hosts.forEach(GossipFleet.Member::startSoon);
            loop.runFor(5_000);
        }

        private GossipFleet.Member startHost(String name) {
            GossipFleet.Member host = gossip.new Member(name);
            toldMillis.remove(name);
            IntStream.range(0, servers)
                    .forEach(index -> host.registry.update(
                            new BackendRegistration(
                                    "s" + index, 1L, "llm", "127.0.0.1:1", "a", "v1", 64, false, 0L, 0L),
                            REVISION));
            return host;
        }

        /** Replaces a host by one that knows nothing of limits. */
        void restart(int index) {
            hosts.get(index).stop();
            hosts.set(index, startHost(hosts.get(index).name));
            hosts.get(index).start();
        }

        /** Lets the limited server name a limit, or none, in its responses from now on. */
        void nameLimit(OptionalDouble requestsPerSecond) {
            limit = requestsPerSecond;
            countedFromMillis = loop.nowMillis() + STABLE_WINDOW_MILLIS;
            arrivals.clear();
        }

        void callFor(long millis, int requestsPerSecond) {
            allArrivals = 0;
            IntStream.range(0, (int) (millis * requestsPerSecond / 1_000))
                    .forEach(_index -> loop.schedule((long) (random.nextDouble() * millis), this::request));
            loop.runFor(millis);
        }

        private void request() {
            GossipFleet.Member host = hosts.get(random.nextInt(hosts.size()));
            List<BackendServerState> usable = host.registry.ready("llm").stream()
                    .filter(host.reports.serverNotices()::mayUse)
                    .toList();
            if (usable.isEmpty()) {
                refused++;
                return;
            }
            // The limited server is preferred, as a server that has little to do would be.
            BackendServerState server = usable.stream()
                    .filter(candidate -> candidate.entry().id().equals(LIMITED))
                    .filter(_candidate -> random.nextInt(4) == 0)
                    .findFirst()
                    .orElseGet(() -> usable.get(random.nextInt(usable.size())));
            host.reports.serverNotices().onSend(server);
            if (server.entry().id().equals(LIMITED)) {
                arrive(host, server);
            }
        }

        private void arrive(GossipFleet.Member host, BackendServerState server) {
            long sentMillis = loop.nowMillis();
            allArrivals++;
            boolean told = sentMillis - toldMillis.getOrDefault(host.name, sentMillis) >= TOLD_MILLIS;
            if (told && sentMillis >= countedFromMillis) {
                arrivals.add(sentMillis);
            }
            OptionalDouble named = limit;
            loop.schedule(RESPONSE_MILLIS, () -> {
                boolean _changed = host.reports.serverNotices().onResponse(server, named, sentMillis);
                named.ifPresent(_limit -> toldMillis.putIfAbsent(host.name, loop.nowMillis()));
            });
        }

        long mostInRuleWindow() {
            return arrivals.stream()
                    .mapToLong(start -> arrivals.stream()
                            .filter(arrival -> arrival >= start && arrival < start + RULE_WINDOW_MILLIS)
                            .count())
                    .max()
                    .orElse(0);
        }
    }

    @Nested
    final class AFleet {
        private void keepsTo(double limit, int hosts, int servers, int requestsPerSecond) {
            Fleet fleet = new Fleet(hosts, servers, hosts);
            fleet.callFor(3_000, requestsPerSecond);
            fleet.nameLimit(OptionalDouble.of(limit));
            fleet.callFor(10_000, requestsPerSecond);
            fleet.callFor(20_000, requestsPerSecond);
            checkRule(fleet, limit);
            assertWithMessage("%s hosts, arrivals in 20 s at %s/s", hosts, limit)
                    .that((double) fleet.allArrivals)
                    .isAtLeast(20 * limit / 2);
            assertWithMessage("refused").that(fleet.refused).isEqualTo(0);
        }

        private void returnsToNormalAfter(double limit, int hosts, int servers, int requestsPerSecond) {
            Fleet fleet = new Fleet(hosts, servers, hosts);
            fleet.nameLimit(OptionalDouble.of(limit));
            fleet.callFor(10_000, requestsPerSecond);
            fleet.nameLimit(OptionalDouble.empty());
            fleet.callFor(15_000, requestsPerSecond);
            fleet.callFor(10_000, requestsPerSecond);
            assertWithMessage("%s hosts, arrivals in 10 s after the limit was lifted", hosts)
                    .that((double) fleet.allArrivals)
                    .isAtLeast(requestsPerSecond * 10 / 8.0);
        }

        private void checkRule(Fleet fleet, double limit) {
            assertWithMessage("%s hosts, limit of %s/s", fleet.hosts.size(), limit)
                    .that((double) fleet.mostInRuleWindow())
                    .isAtMost(RULE_FACTOR * limit * RULE_WINDOW_MILLIS / 1_000 + RULE_TOLERANCE);
        }

        // Incident LIMIT at three sizes of the fleet: hosts that were told of a limit exceeded it together.
        @Test
        void of_6_hosts_keeps_to_the_limit() {
            keepsTo(1.1, 6, 8, 60);
            keepsTo(12, 6, 8, 60);
        }

        @Test
        void of_58_hosts_keeps_to_the_limit() {
            keepsTo(1.1, 58, 78, 300);
            keepsTo(12, 58, 78, 300);
        }

        @Test
        void of_360_hosts_keeps_to_the_limit() {
            keepsTo(1.1, 360, 60, 500);
        }

        @Test
        void uses_the_server_as_before_once_the_limit_is_lifted() {
            returnsToNormalAfter(1.1, 6, 8, 60);
            returnsToNormalAfter(12, 58, 78, 300);
        }

        @Test
        void keeps_to_the_limit_while_its_hosts_restart_one_after_the_other() {
            Fleet fleet = new Fleet(58, 78, 1);
            fleet.callFor(3_000, 300);
            fleet.nameLimit(OptionalDouble.of(1.1));
            IntStream.range(0, 58)
                    .forEach(index -> fleet.loop.schedule(5_000 + index * 500L, () -> fleet.restart(index)));
            fleet.callFor(40_000, 300);
            checkRule(fleet, 1.1);
        }
    }
}
