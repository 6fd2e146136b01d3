package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.RoutingConfiguration;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets whose list of backend servers holds entries of another writer, in virtual time. */
final class OddEntryFleetTest {
    private static final int SERVERS = 60;
    private static final long START_MILLIS = 3_000L;
    // Of the rule on configurations: time for a change to be in force.
    private static final long APPLY_MILLIS = 2_000L;
    // A reader fails on the number with an exception that it does not declare.
    private static final String TOO_LARGE = "v1 ready 99999999999999999999";
    private static final String TOO_SHORT = "v1";

    /** A fleet with its store; the odd entries have keys before, among and after those of the servers. */
    private static final class Fleet {
        private final GossipFleet gossip = new GossipFleet(7, 5_000, new TextFormats(12_000));
        private final VirtualStore store = new VirtualStore(gossip.loop, new Random(8));
        private final List<GossipFleet.Member> hosts = new ArrayList<>();

        Fleet(int hostCount) {
            store.put("op/config", TextFormats.configuration(1));
            IntStream.range(0, SERVERS)
                    .forEach(index -> store.put("servers/s" + index, TextFormats.backend("v1", false, 1)));
            IntStream.range(0, hostCount)
                    .forEach(index -> hosts.add(gossip.new Member("h" + index, store.new Client())));
        }

        void putOddEntries() {
            List.of("servers/a", "servers/s1x", "servers/z").forEach(key -> store.put(key, TOO_LARGE));
            List.of("servers/b", "servers/s2x", "servers/zz").forEach(key -> store.put(key, TOO_SHORT));
            store.put("op/rollout/", "");
            store.put("status/x", "v2 ASLEEP");
        }

        void start() {
            hosts.forEach(host -> {
                host.view.start();
                host.startSoon();
            });
            gossip.loop.runFor(START_MILLIS);
        }

        void runFor(long millis) {
            gossip.loop.runFor(millis);
        }

        void knows(long version, int servers) {
            hosts.forEach(host -> {
                assertWithMessage(host.name)
                        .that(host.view.configuration().map(RoutingConfiguration::version))
                        .isEqualTo(java.util.Optional.of(version));
                assertWithMessage(host.name)
                        .that(host.registry.ready(TextFormats.SERVICE).size())
                        .isEqualTo(servers);
            });
        }

        Set<String> ready(GossipFleet.Member host) {
            return host.registry.ready(TextFormats.SERVICE).stream()
                    .map(BackendServerState::entry)
                    .map(BackendRegistration::id)
                    .collect(Collectors.toSet());
        }
    }

    @Nested
    final class AFleet {
        @ParameterizedTest
        @ValueSource(ints = {6, 95, 360})
        void that_starts_with_odd_entries_follows_the_others(int hostCount) {
            Fleet fleet = new Fleet(hostCount);
            fleet.putOddEntries();
            fleet.start();
            fleet.knows(1, SERVERS);
            fleet.store.put("op/config", TextFormats.configuration(2));
            fleet.store.put("servers/s99", TextFormats.backend("v1", false, 1));
            fleet.store.delete("servers/s5");
            fleet.store.delete("servers/s6");
            fleet.runFor(APPLY_MILLIS + START_MILLIS);
            fleet.knows(2, SERVERS - 1);
        }

        @ParameterizedTest
        @ValueSource(ints = {6, 95, 360})
        void follows_the_others_when_odd_entries_are_written_and_removed(int hostCount) {
            Fleet fleet = new Fleet(hostCount);
            fleet.start();
            fleet.knows(1, SERVERS);
            fleet.putOddEntries();
            fleet.store.put("op/config", TextFormats.configuration(2));
            fleet.runFor(APPLY_MILLIS);
            fleet.knows(2, SERVERS);
            List.of("servers/a", "servers/s1x", "servers/z").forEach(fleet.store::delete);
            fleet.store.put("servers/s99", TextFormats.backend("v1", false, 1));
            fleet.runFor(APPLY_MILLIS);
            fleet.knows(2, SERVERS + 1);
        }

        // An entry that cannot be read names no server to use.
        @ParameterizedTest
        @ValueSource(ints = {6, 95, 360})
        void leaves_a_server_whose_entry_is_overwritten_until_it_registers_again(int hostCount) {
            Fleet fleet = new Fleet(hostCount);
            fleet.start();
            fleet.store.put("servers/s3", TOO_LARGE);
            fleet.runFor(APPLY_MILLIS);
            fleet.knows(1, SERVERS - 1);
            fleet.hosts.forEach(host -> assertThat(fleet.ready(host)).doesNotContain("s3"));
            fleet.store.put("servers/s3", TextFormats.backend("v1", false, 2));
            fleet.runFor(APPLY_MILLIS);
            fleet.knows(1, SERVERS);
        }
    }
}
