package io.heatherloft.router.peers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.domain.rollout.RolloutState;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Fleets whose store is restored from an older copy, while configurations, servers, hosts and rollouts change. */
final class RestoredStoreFleetTest {
    private static final List<Integer> COPY_AGES_MILLIS = List.of(500, 2_000, 5_000, 9_000);
    private static final List<Integer> AWAY_MILLIS = List.of(200, 1_000, 2_000, 5_000);
    private static final int SETTLE_MILLIS = 15_000;
    // Half of the writes that the platform allows all hosts together in a second.
    private static final int MAX_WRITES = 200;
    // Of the rule on configurations: the time for a change and the time by which an outage of the store may extend it.
    private static final int MAX_WHOLE_MILLIS = 7_000;

    private static <T> T oneOf(List<T> choices, Random random) {
        return choices.get(random.nextInt(choices.size()));
    }

    private static RestoredFleet startedFleet(int hosts, int servers, long seed) {
        RestoredFleet fleet = new RestoredFleet(hosts, servers, seed);
        fleet.loop.runFor(6_000);
        return fleet;
    }

    /** Plays changes of all kinds in the lost seconds, while the store is away, during its return and after it. */
    private static RestoredFleet playRandomChanges(int hosts, int servers, long seed) {
        RestoredFleet fleet = startedFleet(hosts, servers, seed);
        Random random = new Random(seed);
        int copyAge = oneOf(COPY_AGES_MILLIS, random);
        int away = oneOf(AWAY_MILLIS, random);
        VirtualStore.Copy copy = fleet.store.copy();
        List<Consumer<RestoredFleet>> kinds = List.of(
                RestoredFleet::changeConfiguration,
                RestoredFleet::changeConfiguration,
                changed -> changed.startServer("v1"),
                RestoredFleet::stopServer,
                RestoredFleet::restartHost,
                changed -> changed.cutOffHost(1_000 + random.nextInt(6_000)));
        fleet.loop.schedule(copyAge, () -> fleet.restore(copy, away));
        for (int change = 0; change < 14; change++) {
            Consumer<RestoredFleet> kind = oneOf(kinds, random);
            fleet.loop.schedule(random.nextInt(copyAge + away + 4_000), () -> kind.accept(fleet));
        }
        fleet.loop.runFor(copyAge + away + SETTLE_MILLIS);
        return fleet;
    }

    private static void assertNothingFound(RestoredFleet fleet, long seed) {
        assertWithMessage("seed " + seed).that(fleet.findings).isEmpty();
    }

    @Nested
    final class AFleet {
        // Incident CONFIG at three sizes: hosts took what was written after the restore for what they knew before.
        @Test
        void of_6_hosts_keeps_what_was_acknowledged_and_takes_what_is_written_anew() {
            for (long seed = 0; seed < 40; seed++) {
                assertNothingFound(playRandomChanges(6, 8, seed), seed);
            }
        }

        @Test
        void of_58_hosts_keeps_what_was_acknowledged_and_takes_what_is_written_anew() {
            for (long seed = 0; seed < 3; seed++) {
                assertNothingFound(playRandomChanges(58, 78, seed), seed);
            }
        }

        @Test
        void of_360_hosts_keeps_what_was_acknowledged_and_takes_what_is_written_anew() {
            assertNothingFound(playRandomChanges(360, 100, 1), 1);
        }

        @Test
        void survives_two_restores_that_follow_each_other() {
            for (long seed = 0; seed < 20; seed++) {
                RestoredFleet fleet = startedFleet(6, 8, seed);
                VirtualStore.Copy first = fleet.store.copy();
                fleet.changeConfiguration();
                fleet.stopServer();
                fleet.loop.runFor(1_500);
                fleet.restore(first, 500);
                fleet.loop.runFor(1_200);
                VirtualStore.Copy second = fleet.store.copy();
                fleet.changeConfiguration();
                fleet.startServer("v1");
                fleet.loop.runFor(1_500);
                fleet.restore(second, 500);
                fleet.loop.runFor(SETTLE_MILLIS);
                assertNothingFound(fleet, seed);
            }
        }
    }

    @Nested
    final class ARollout {
        private RestoredFleet play(int hosts, long seed, int restoredAfterMillis, int copyAgeMillis) {
            RestoredFleet fleet = startedFleet(hosts, 8, seed);
            fleet.startServer("v2");
            fleet.startServer("v2");
            fleet.loop.runFor(2_500);
            fleet.loop.schedule(300, () -> fleet.order("v2"));
            VirtualStore.Copy[] copy = new VirtualStore.Copy[1];
            fleet.loop.schedule(
                    Math.max(0, 300 + restoredAfterMillis - copyAgeMillis), () -> copy[0] = fleet.store.copy());
            fleet.loop.schedule(300 + restoredAfterMillis, () -> fleet.restore(copy[0], 1_000));
            fleet.loop.runFor(RestoredFleet.ROLLOUT_MILLIS + 8_000);
            return fleet;
        }

        // Incident CONFIG: a rollout whose order is written again must neither begin anew nor move sessions back.
        @Test
        void goes_on_when_its_order_was_lost_or_its_state() {
            for (int restoredAfter : List.of(100, 1_500, 4_000, 7_000, 10_000, 11_500)) {
                for (int copyAge : List.of(600, 3_000, 9_000)) {
                    RestoredFleet fleet = play(6, restoredAfter + copyAge, restoredAfter, copyAge);
                    String played = "restored after " + restoredAfter + " ms, copy " + copyAge + " ms old";
                    assertWithMessage(played).that(fleet.findings).isEmpty();
                    assertWithMessage(played)
                            .that(fleet.storedPhase())
                            .isEqualTo(Optional.of(RolloutState.Phase.COMPLETED));
                }
            }
        }
    }

    @Nested
    final class WhatHostsWroteAndTheStoreLost {
        private void isWrittenAgain(int hosts) {
            RestoredFleet fleet = startedFleet(hosts, 8, hosts);
            fleet.store.delete(RestoredFleet.CRASH_RECORD_KEY);
            VirtualStore.Copy copyWithoutRecord = fleet.store.copy();
            fleet.loop.runFor(8_000);
            assertThat(fleet.store.keys(RestoredFleet.CRASH_RECORD_KEY)).hasSize(1);
            fleet.restore(copyWithoutRecord, 1_000);
            fleet.loop.runFor(1_000);
            int writesBefore = fleet.store.writeCount;
            fleet.loop.runFor(SETTLE_MILLIS);
            assertThat(fleet.store.keys(RestoredFleet.CRASH_RECORD_KEY)).hasSize(1);
            assertThat(fleet.store.writeCount - writesBefore).isAtMost(MAX_WRITES);
            assertThat(fleet.wholeAfterMillis()).isAtMost(MAX_WHOLE_MILLIS);
        }

        @Test
        void is_written_again_by_few_of_6_hosts() {
            isWrittenAgain(6);
        }

        @Test
        void is_written_again_by_few_of_58_hosts() {
            isWrittenAgain(58);
        }

        @Test
        void is_written_again_by_few_of_360_hosts() {
            isWrittenAgain(360);
        }
    }
}
