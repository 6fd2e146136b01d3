package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.FakeBackends;
import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.FakeConfiguration;
import io.heatherloft.daemon.fakes.FakeFleet;
import io.heatherloft.ports.configuration.ConfigurationRepository.ApplyOutcome;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ConfigurationPromisesTest {
    private static final long IN_FORCE_MILLIS = 8_000L;

    private final FakeFleet fleet = FakeFleet.ready(2, 6);

    private List<Long> generations() {
        return fleet.liveHosts().stream()
                .map(host -> host.core().fleet().configuration().generation())
                .toList();
    }

    private List<ApplyOutcome> apply(FakeConfiguration configuration) {
        List<ApplyOutcome> outcomes = new ArrayList<>();
        Futures.onResult(fleet.apply(configuration), outcomes::add);
        return outcomes;
    }

    @Nested
    final class InForceEverywhere {
        @Test
        void within_eight_seconds_of_apply() {
            apply(new FakeConfiguration().withdrawFirst());
            fleet.schedule.advance(IN_FORCE_MILLIS);
            assertThat(generations()).containsExactly(2L, 2L, 2L, 2L, 2L, 2L);
        }

        @Test
        void although_the_store_goes_down_as_soon_as_one_host_has_it() {
            apply(new FakeConfiguration().withdrawFirst());
            while (!generations().contains(2L)) {
                fleet.schedule.advance(1);
            }
            fleet.store.setDown(true);
            fleet.schedule.advance(IN_FORCE_MILLIS);
            assertThat(generations()).containsExactly(2L, 2L, 2L, 2L, 2L, 2L);
        }

        @Test
        void on_a_host_that_starts_during_an_outage() {
            fleet.store.setDown(true);
            fleet.schedule.advance(1_000);
            FakeFleet.Host late = fleet.start("host-6");
            fleet.schedule.advance(IN_FORCE_MILLIS);
            assertThat(late.core().fleet().configuration().generation()).isEqualTo(1);
            assertThat(late.core().isReady()).isTrue();
        }

        @Test
        void when_a_fifth_of_the_messages_between_hosts_is_lost() {
            fleet.peers.setLoss(0.2);
            apply(new FakeConfiguration().withdrawFirst());
            fleet.schedule.advance(IN_FORCE_MILLIS);
            assertThat(generations()).containsExactly(2L, 2L, 2L, 2L, 2L, 2L);
        }

        @Test
        void when_the_watches_were_cut_by_an_outage_in_between() {
            fleet.store.setDown(true);
            fleet.schedule.advance(60_000);
            fleet.store.setDown(false);
            fleet.schedule.advance(IN_FORCE_MILLIS);
            apply(new FakeConfiguration().withdrawFirst());
            fleet.schedule.advance(IN_FORCE_MILLIS);
            assertThat(generations()).containsExactly(2L, 2L, 2L, 2L, 2L, 2L);
        }
    }

    @Nested
    final class NeverReverts {
        @Test
        void on_a_host_that_was_paused_through_two_changes() {
            fleet.host(0).loop().pause();
            apply(new FakeConfiguration().withdrawFirst());
            fleet.schedule.advance(5_000);
            apply(new FakeConfiguration().withdrawFirst().forbidSecond());
            fleet.schedule.advance(5_000);
            fleet.host(0).loop().resume();
            fleet.schedule.advance(IN_FORCE_MILLIS);
            assertThat(generations()).containsExactly(3L, 3L, 3L, 3L, 3L, 3L);
        }
    }

    @Nested
    final class RacingOperators {
        @Test
        void one_wins_and_the_other_is_told_whose_generation_stands() {
            List<ApplyOutcome> first = apply(new FakeConfiguration().withdrawFirst());
            List<ApplyOutcome> second = apply(new FakeConfiguration().forbidSecond());
            fleet.schedule.advance(2_000);
            List<ApplyOutcome> both = new ArrayList<>(first);
            both.addAll(second);
            assertThat(both.stream()
                            .filter(ApplyOutcome.Applied.class::isInstance)
                            .count())
                    .isEqualTo(1);
            ApplyOutcome.Conflict lost = both.stream()
                    .filter(ApplyOutcome.Conflict.class::isInstance)
                    .map(ApplyOutcome.Conflict.class::cast)
                    .findFirst()
                    .orElseThrow();
            assertThat(lost.current().generation()).isEqualTo(2);
        }

        @Test
        void an_operator_whose_answers_are_lost_is_never_told_of_a_conflict_with_himself() {
            fleet.store.setLostAnswers(0.5);
            List<ApplyOutcome> outcomes = new ArrayList<>();
            for (int index = 0; index < 10; index++) {
                outcomes.addAll(apply(new FakeConfiguration().sharePercent(index)));
                fleet.schedule.advance(30_000);
            }
            assertThat(outcomes.stream()
                            .filter(ApplyOutcome.Conflict.class::isInstance)
                            .toList())
                    .isEmpty();
        }
    }

    @Nested
    final class WithdrawnVersions {
        @Test
        void receive_no_new_work_once_the_generation_is_in_force() {
            apply(new FakeConfiguration().sharePercent(0).withdrawFirst());
            fleet.schedule.advance(IN_FORCE_MILLIS);
            long inForce = fleet.schedule.nowMillis();
            for (int index = 0; index < 20; index++) {
                fleet.chat(fleet.host(index % 6), "small", "question " + index, "", "", true);
                fleet.schedule.advance(100);
            }
            assertThat(fleet.backends.dispatches().stream()
                            .filter(dispatch -> dispatch.atMillis() > inForce)
                            .map(FakeBackends.Dispatch::version)
                            .distinct()
                            .toList())
                    .containsExactly("small@2");
        }

        @Test
        void are_checked_again_when_a_queued_request_gets_its_place() {
            apply(new FakeConfiguration().sharePercent(0).limits(64, 64, 1));
            fleet.schedule.advance(IN_FORCE_MILLIS);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 24; index++) {
                callers.add(fleet.chat(fleet.host(0), "small", "question " + index, "", "", true));
            }
            fleet.schedule.advance(50);
            apply(new FakeConfiguration().sharePercent(0).withdrawFirst().limits(64, 64, 1));
            while (fleet.host(0).core().fleet().configuration().generation() < 3) {
                fleet.schedule.advance(1);
            }
            long inForce = fleet.schedule.nowMillis();
            fleet.schedule.advance(30_000);
            callers.forEach(caller -> assertThat(caller.isFinished()).isTrue());
            assertThat(fleet.backends.dispatches().stream()
                            .filter(dispatch -> dispatch.atMillis() > inForce + 1)
                            .map(FakeBackends.Dispatch::version)
                            .distinct()
                            .toList())
                    .containsExactly("small@2");
        }
    }
}
