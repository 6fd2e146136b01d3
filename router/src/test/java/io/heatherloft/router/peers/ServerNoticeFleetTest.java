package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Fleets in virtual time, without a network, one of whose hosts learns that a backend server leaves or is at rest. */
final class ServerNoticeFleetTest {
    private static final String LEAVING = "s0";
    // Of the rule on draining servers: time after which a host that was told sends no more requests.
    private static final long DRAIN_MILLIS = 2_000L;

    private static final class Fleet {
        private final GossipFleet gossip;
        private final List<GossipFleet.Member> hosts;

        Fleet(int hostCount) {
            this.gossip = new GossipFleet(hostCount, 1_000, new TextFormats(0));
            this.hosts = IntStream.range(0, hostCount)
                    .mapToObj(index -> gossip.new Member("h" + index))
                    .toList();
            hosts.forEach(host -> {
                learn(host, 1);
                host.startSoon();
            });
            gossip.loop.runFor(5_000);
        }

        private void learn(GossipFleet.Member host, long startedAtMillis) {
            IntStream.range(0, 2)
                    .forEach(index -> host.registry.update(
                            new BackendRegistration(
                                    "s" + index, startedAtMillis, "llm", "127.0.0.1:1", "a", "v1", 64, false, 0L, 0L),
                            StoreRevision.ofFirstEra(startedAtMillis)));
        }

        private static BackendServerState server(GossipFleet.Member host) {
            return host.registry.find(LEAVING).orElseThrow();
        }

        private long hostsThatUse() {
            return hosts.stream()
                    .filter(host -> host.reports
                            .serverNotices()
                            .staying(host.registry.ready("llm"))
                            .contains(server(host)))
                    .filter(host -> host.reports.serverNotices().mayUse(server(host)))
                    .count();
        }
    }

    private static void tellsAllHosts(int hostCount) {
        Fleet fleet = new Fleet(hostCount);
        GossipFleet.Member told = fleet.hosts.get(0);
        assertThat(told.reports.serverNotices().onDeparture(Fleet.server(told))).isTrue();
        assertThat(fleet.hostsThatUse()).isEqualTo(hostCount - 1);
        fleet.gossip.loop.runFor(DRAIN_MILLIS);
        assertWithMessage("hosts that use the leaving server")
                .that(fleet.hostsThatUse())
                .isEqualTo(0);
    }

    /** Incident DRAIN: only the store told hosts that a server leaves, and it can be silent. */
    @Nested
    final class ADeparture {
        @Test
        void is_known_to_6_hosts_within_the_time_to_drain() {
            tellsAllHosts(6);
        }

        @Test
        void is_known_to_58_hosts_within_the_time_to_drain() {
            tellsAllHosts(58);
        }

        @Test
        void is_known_to_360_hosts_within_the_time_to_drain() {
            tellsAllHosts(360);
        }

        @Test
        void ends_with_the_servers_incarnation_and_not_with_a_newer_entry() {
            Fleet fleet = new Fleet(6);
            GossipFleet.Member told = fleet.hosts.get(0);
            assertThat(told.reports.serverNotices().onDeparture(Fleet.server(told)))
                    .isTrue();
            fleet.gossip.loop.runFor(DRAIN_MILLIS);
            fleet.hosts.forEach(host -> fleet.learn(host, 1));
            assertThat(fleet.hostsThatUse()).isEqualTo(0);
            fleet.hosts.forEach(host -> fleet.learn(host, 2));
            assertThat(fleet.hostsThatUse()).isEqualTo(6);
        }
    }

    @Nested
    final class ARest {
        @Test
        void concerns_the_host_that_was_asked_for_it() {
            Fleet fleet = new Fleet(6);
            GossipFleet.Member asked = fleet.hosts.get(0);
            assertThat(asked.reports.serverNotices().onRest(Fleet.server(asked), 5_000, false))
                    .isTrue();
            fleet.gossip.loop.runFor(3_000);
            assertThat(fleet.hostsThatUse()).isEqualTo(5);
            fleet.gossip.loop.runFor(2_000);
            assertThat(fleet.hostsThatUse()).isEqualTo(6);
        }

        // The server takes the requests for those of the host that connects, which does not read the response.
        @Test
        void concerns_all_hosts_if_another_one_connected_the_host() {
            Fleet fleet = new Fleet(58);
            GossipFleet.Member asked = fleet.hosts.get(0);
            assertThat(asked.reports.serverNotices().onRest(Fleet.server(asked), 5_000, true))
                    .isTrue();
            fleet.gossip.loop.runFor(2_000);
            assertThat(fleet.hostsThatUse()).isEqualTo(0);
            fleet.gossip.loop.runFor(4_000);
            assertThat(fleet.hostsThatUse()).isEqualTo(58);
        }
    }
}
