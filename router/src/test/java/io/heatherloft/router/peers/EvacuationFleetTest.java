package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets in virtual time whose operator evacuates a zone and takes it back, while hosts start and the store is restored. */
final class EvacuationFleetTest {
    private static final String ZONE_KEY = "op/evacuate/a";
    private static final String ORDER = "{}";
    private static final int SERVERS = 8;
    private static final Set<String> ZONE_SERVERS = Set.of("s0", "s2", "s4", "s6");
    private static final long START_MILLIS = 6_000L;
    // Hosts have heard of all others by then, so that their gossip rounds have the full interval.
    private static final long ACQUAINTANCE_MILLIS = 60_000L;
    // Of the rule on evacuations: time from the acknowledgement of the key after which no host may send to the zone.
    private static final long FOLLOW_MILLIS = 5_000L;
    // RestorePolicy.REORDER_MILLIS: operators have written again by then.
    private static final long REORDER_MILLIS = 2_000L;
    private static final long AWAY_MILLIS = 1_000L;

    /** A fleet with its store. Half of the servers are in zone a, the others in zone b. */
    private static final class Fleet {
        private final GossipFleet gossip;
        private final VirtualStore store;
        private final List<Host> hosts = new ArrayList<>();

        Fleet(int hostCount) {
            gossip = new GossipFleet(hostCount, 5_000, new TextFormats(12_000));
            store = new VirtualStore(gossip.loop, new Random(hostCount));
            store.put("op/config", TextFormats.configuration(1));
            IntStream.range(0, SERVERS)
                    .forEach(index ->
                            store.put("servers/s" + index, TextFormats.backend("v1", index % 2 == 0 ? "a" : "b")));
            IntStream.range(0, hostCount).forEach(_index -> startHost());
            runFor(START_MILLIS);
        }

        Host startHost() {
            Host host = new Host("h" + hosts.size());
            hosts.add(host);
            host.member.view.start();
            host.member.startSoon();
            return host;
        }

        void runFor(long millis) {
            gossip.loop.runFor(millis);
        }

        /** Takes the store away and brings it back with the contents of a copy. */
        void restore(VirtualStore.Copy copy) {
            store.goDown();
            runFor(AWAY_MILLIS);
            store.returnRestored(copy);
        }

        void cutOff(List<Host> cutOff) {
            cutOff.forEach(host -> host.client.setCutOff(true));
        }

        void allHave(boolean evacuated, String when) {
            hosts.forEach(host -> assertWithMessage(host.member.name + ' ' + when)
                    .that(host.isEvacuated())
                    .isEqualTo(evacuated));
        }

        /** Asserts at short intervals for a time that no host changes its mind. */
        void allKeep(boolean evacuated, long millis, String when) {
            for (long elapsed = 0; elapsed < millis; elapsed += 50) {
                allHave(evacuated, elapsed + " ms after " + when);
                runFor(50);
            }
        }

        void evacuate() {
            store.put(ZONE_KEY, ORDER);
            runFor(FOLLOW_MILLIS);
            allHave(true, "after the order");
        }

        void takeBack() {
            store.delete(ZONE_KEY);
            runFor(FOLLOW_MILLIS);
            allHave(false, "after the revocation");
        }

        private final class Host {
            private final VirtualStore.Client client = store.new Client();
            private final GossipFleet.Member member;
            private final Set<String> ended = new HashSet<>();
            private boolean servedUnaware;

            Host(String name) {
                member = gossip.new Member(name, client);
                member.registry.evacuatedZones().addEndListener((zone, atMillis) -> ended.add(zone + ' ' + atMillis));
            }

            boolean isEvacuated() {
                Set<String> excluded = member.registry.all().stream()
                        .filter(member.registry.evacuatedZones()::contains)
                        .map(server -> server.entry().id())
                        .collect(Collectors.toSet());
                assertWithMessage(member.name)
                        .that(Set.of(Set.of(), ZONE_SERVERS))
                        .contains(excluded);
                return !excluded.isEmpty();
            }

            /** Checks from now on that this host does not serve before it knows of the evacuation. */
            Host mustKnowBeforeItServes() {
                gossip.loop.repeat(
                        1,
                        () -> servedUnaware |= member.view.isComplete()
                                && member.registry.evacuatedZones().count() == 0);
                return this;
            }
        }
    }

    @Nested
    final class AnOrder {
        // Nothing read the key, so a zone that was to be emptied went on receiving requests.
        @ParameterizedTest
        @ValueSource(ints = {6, 70, 360})
        void is_followed_by_every_host_and_so_is_its_revocation(int hostCount) {
            Fleet fleet = new Fleet(hostCount);
            fleet.allHave(false, "before the order");
            fleet.evacuate();
            long revokedMillis = fleet.gossip.loop.nowMillis();
            fleet.takeBack();
            fleet.hosts.forEach(host -> {
                assertThat(host.ended).hasSize(1);
                long endedMillis = Long.parseLong(host.ended.iterator().next().substring(2));
                assertThat(endedMillis).isAtLeast(revokedMillis);
                assertThat(endedMillis).isLessThan(revokedMillis + FOLLOW_MILLIS);
            });
        }

        // With the full interval of gossip rounds, hosts of 360 learned of a revocation after more than 5 s.
        @ParameterizedTest
        @ValueSource(ints = {6, 70, 360})
        void reaches_hosts_that_cannot_reach_the_store(int hostCount) {
            Fleet fleet = new Fleet(hostCount);
            fleet.runFor(ACQUAINTANCE_MILLIS);
            assertThat(fleet.hosts.get(0).member.reports.hostCount()).isEqualTo(hostCount);
            fleet.cutOff(fleet.hosts.subList(0, hostCount / 2));
            fleet.runFor(1_000);
            fleet.evacuate();
            fleet.takeBack();
        }

        @ParameterizedTest
        @ValueSource(ints = {6, 70, 360})
        void is_known_to_a_host_that_starts_later_before_it_serves(int hostCount) {
            Fleet fleet = new Fleet(hostCount);
            fleet.evacuate();
            Fleet.Host connected = fleet.startHost().mustKnowBeforeItServes();
            Fleet.Host cutOff = fleet.startHost().mustKnowBeforeItServes();
            cutOff.client.setCutOff(true);
            fleet.runFor(FOLLOW_MILLIS);
            assertThat(connected.member.view.isComplete()).isTrue();
            assertThat(cutOff.member.view.isComplete()).isTrue();
            assertThat(connected.servedUnaware).isFalse();
            assertThat(cutOff.servedUnaware).isFalse();
            fleet.allHave(true, "after the start of hosts");
        }

        // Another writer's value must not keep a zone in use that an operator wants emptied.
        @Test
        void holds_whatever_its_value_is() {
            Fleet fleet = new Fleet(6);
            for (String value : List.of("", "null", "[]", "{\"zone\":\"b\"}", "\u0000", "{".repeat(5_000))) {
                fleet.store.put(ZONE_KEY, value);
                fleet.runFor(FOLLOW_MILLIS);
                fleet.allHave(true, "after the order " + value);
                fleet.takeBack();
            }
        }

        @Test
        void for_another_zone_or_none_leaves_the_servers_in_use() {
            Fleet fleet = new Fleet(6);
            List.of("op/evacuate/", "op/evacuate", "op/evacuate/A", "op/evacuate/a/", "op/evacuate/ a")
                    .forEach(key -> fleet.store.put(key, ORDER));
            fleet.runFor(FOLLOW_MILLIS);
            assertThat(fleet.hosts.get(0).member.registry.evacuatedZones().count())
                    .isEqualTo(3);
            fleet.allHave(false, "after orders for other zones");
            fleet.evacuate();
            fleet.store.delete("op/evacuate/A");
            fleet.runFor(FOLLOW_MILLIS);
            fleet.allHave(true, "after the revocation of another order");
        }
    }

    @Nested
    final class AStoreRestoredFromAnOlderCopy {
        // A host that took the restored contents for the newest ones sent requests to the zone until the operator wrote
        // again.
        @ParameterizedTest
        @ValueSource(ints = {6, 70, 360})
        void does_not_end_an_evacuation_that_it_has_lost(int hostCount) {
            Fleet fleet = new Fleet(hostCount);
            VirtualStore.Copy copy = fleet.store.copy();
            fleet.evacuate();
            fleet.restore(copy);
            fleet.allKeep(true, FOLLOW_MILLIS, "the restore");
            Fleet.Host later = fleet.startHost();
            fleet.runFor(FOLLOW_MILLIS);
            assertWithMessage("host that started after the restore")
                    .that(later.isEvacuated())
                    .isTrue();
            fleet.evacuate();
            fleet.takeBack();
        }

        @ParameterizedTest
        @ValueSource(ints = {6, 70, 360})
        void does_not_begin_an_evacuation_again_that_its_operator_ends_again(int hostCount) {
            Fleet fleet = new Fleet(hostCount);
            fleet.evacuate();
            VirtualStore.Copy copy = fleet.store.copy();
            fleet.takeBack();
            fleet.restore(copy);
            fleet.allKeep(false, REORDER_MILLIS - 100, "the restore");
            fleet.store.delete(ZONE_KEY);
            fleet.allKeep(false, FOLLOW_MILLIS, "the second revocation");
        }

        // The store's contents count for good once the operator has had time to correct them.
        @Test
        void begins_an_evacuation_again_that_its_operator_does_not_end_again() {
            Fleet fleet = new Fleet(6);
            fleet.evacuate();
            VirtualStore.Copy copy = fleet.store.copy();
            fleet.takeBack();
            fleet.restore(copy);
            Fleet.Host started = fleet.startHost();
            fleet.runFor(FOLLOW_MILLIS);
            fleet.allHave(true, "after the time to write again");
            assertThat(started.isEvacuated()).isTrue();
        }

        // The host spread the evacuation to all others, and nothing in the store could end it.
        @ParameterizedTest
        @ValueSource(ints = {6, 70, 360})
        void does_not_let_a_host_that_missed_a_revocation_spread_the_evacuation(int hostCount) {
            Fleet fleet = new Fleet(hostCount);
            VirtualStore.Copy copy = fleet.store.copy();
            fleet.evacuate();
            Fleet.Host missing = fleet.hosts.get(hostCount - 1);
            missing.client.setCutOff(true);
            missing.member.stop();
            fleet.store.delete(ZONE_KEY);
            fleet.runFor(FOLLOW_MILLIS);
            assertThat(missing.isEvacuated()).isTrue();
            fleet.restore(copy);
            fleet.runFor(REORDER_MILLIS + FOLLOW_MILLIS);
            missing.client.setCutOff(false);
            missing.member.start();
            fleet.runFor(2 * FOLLOW_MILLIS);
            fleet.allHave(false, "after the return of the host");
            fleet.evacuate();
            fleet.takeBack();
        }
    }
}
