package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.FakeBackends;
import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.SampleConfiguration;
import io.heatherloft.daemon.fakes.SimulatedFleet;
import io.heatherloft.ports.configuration.ConfigurationRepository.ApplyOutcome;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ConfigurationGuaranteesTest {
    private static final long PROPAGATION_LIMIT_MILLIS = 8_000L;

    private final SimulatedFleet fleet = SimulatedFleet.ready(2, 6);

    private List<Long> generations() {
        return fleet.liveHosts().stream()
                .map(host -> host.core().fleet().configuration().generation())
                .toList();
    }

    private List<ApplyOutcome> apply(SampleConfiguration configuration) {
        List<ApplyOutcome> outcomes = new ArrayList<>();
        Futures.onResult(fleet.apply(configuration), outcomes::add);
        return outcomes;
    }

    @Nested
    final class ReachesEveryHost {
        @Test
        void within_eight_seconds_of_apply() {
            apply(new SampleConfiguration().withdrawFirstVersion());
            fleet.scheduler.advance(PROPAGATION_LIMIT_MILLIS);
            assertThat(generations()).containsExactly(2L, 2L, 2L, 2L, 2L, 2L);
        }

        @Test
        void although_the_store_fails_as_soon_as_one_host_has_read_it() {
            apply(new SampleConfiguration().withdrawFirstVersion());
            while (!generations().contains(2L)) {
                fleet.scheduler.advance(1);
            }
            fleet.store.setDown(true);
            fleet.scheduler.advance(PROPAGATION_LIMIT_MILLIS);
            assertThat(generations()).containsExactly(2L, 2L, 2L, 2L, 2L, 2L);
        }

        @Test
        void when_a_host_starts_during_a_store_outage() {
            fleet.store.setDown(true);
            fleet.scheduler.advance(1_000);
            SimulatedFleet.Host late = fleet.start("host-6");
            fleet.scheduler.advance(PROPAGATION_LIMIT_MILLIS);
            assertThat(late.core().fleet().configuration().generation()).isEqualTo(1);
            assertThat(late.core().isReady()).isTrue();
        }

        @Test
        void when_a_fifth_of_the_messages_between_hosts_is_lost() {
            fleet.peers.setLossProbability(0.2);
            apply(new SampleConfiguration().withdrawFirstVersion());
            fleet.scheduler.advance(PROPAGATION_LIMIT_MILLIS);
            assertThat(generations()).containsExactly(2L, 2L, 2L, 2L, 2L, 2L);
        }

        @Test
        void after_a_store_outage_ended_the_watches() {
            fleet.store.setDown(true);
            fleet.scheduler.advance(60_000);
            fleet.store.setDown(false);
            fleet.scheduler.advance(PROPAGATION_LIMIT_MILLIS);
            apply(new SampleConfiguration().withdrawFirstVersion());
            fleet.scheduler.advance(PROPAGATION_LIMIT_MILLIS);
            assertThat(generations()).containsExactly(2L, 2L, 2L, 2L, 2L, 2L);
        }
    }

    @Nested
    final class NeverReverts {
        @Test
        void on_a_host_that_was_paused_through_two_changes() {
            fleet.host(0).loop().pause();
            apply(new SampleConfiguration().withdrawFirstVersion());
            fleet.scheduler.advance(5_000);
            apply(new SampleConfiguration().withdrawFirstVersion().disallowSecondVersion());
            fleet.scheduler.advance(5_000);
            fleet.host(0).loop().resume();
            fleet.scheduler.advance(PROPAGATION_LIMIT_MILLIS);
            assertThat(generations()).containsExactly(3L, 3L, 3L, 3L, 3L, 3L);
        }
    }

    @Nested
    final class ConcurrentOperators {
        @Test
        void one_succeeds_and_the_other_gets_a_conflict_with_the_current_generation() {
            List<ApplyOutcome> first = apply(new SampleConfiguration().withdrawFirstVersion());
            List<ApplyOutcome> second = apply(new SampleConfiguration().disallowSecondVersion());
            fleet.scheduler.advance(2_000);
            List<ApplyOutcome> both = new ArrayList<>(first);
            both.addAll(second);
            assertThat(both.stream()
                            .filter(ApplyOutcome.Applied.class::isInstance)
                            .count())
                    .isEqualTo(1);
            ApplyOutcome.Conflict conflict = both.stream()
                    .filter(ApplyOutcome.Conflict.class::isInstance)
                    .map(ApplyOutcome.Conflict.class::cast)
                    .findFirst()
                    .orElseThrow();
            assertThat(conflict.current().generation()).isEqualTo(2);
        }

        @Test
        void lost_responses_never_cause_a_conflict_with_the_same_operators_own_write() {
            fleet.store.setResponseLossProbability(0.5);
            List<ApplyOutcome> outcomes = new ArrayList<>();
            for (int index = 0; index < 10; index++) {
                outcomes.addAll(apply(new SampleConfiguration().sharePercent(index)));
                fleet.scheduler.advance(30_000);
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
        void receive_no_requests_once_the_generation_has_reached_every_host() {
            apply(new SampleConfiguration().sharePercent(0).withdrawFirstVersion());
            fleet.scheduler.advance(PROPAGATION_LIMIT_MILLIS);
            long propagatedAt = fleet.scheduler.nowMillis();
            for (int index = 0; index < 20; index++) {
                fleet.chat(fleet.host(index % 6), "small", "question " + index, "", "", true);
                fleet.scheduler.advance(100);
            }
            assertThat(fleet.backends.dispatches().stream()
                            .filter(dispatch -> dispatch.atMillis() > propagatedAt)
                            .map(FakeBackends.Dispatch::version)
                            .distinct()
                            .toList())
                    .containsExactly("small@2");
        }

        @Test
        void are_checked_again_when_a_queued_request_gets_a_slot() {
            apply(new SampleConfiguration().sharePercent(0).limits(64, 64, 1));
            fleet.scheduler.advance(PROPAGATION_LIMIT_MILLIS);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 24; index++) {
                callers.add(fleet.chat(fleet.host(0), "small", "question " + index, "", "", true));
            }
            fleet.scheduler.advance(50);
            apply(new SampleConfiguration()
                    .sharePercent(0)
                    .withdrawFirstVersion()
                    .limits(64, 64, 1));
            while (fleet.host(0).core().fleet().configuration().generation() < 3) {
                fleet.scheduler.advance(1);
            }
            long propagatedAt = fleet.scheduler.nowMillis();
            fleet.scheduler.advance(30_000);
            callers.forEach(caller -> assertThat(caller.isFinished()).isTrue());
            assertThat(fleet.backends.dispatches().stream()
                            .filter(dispatch -> dispatch.atMillis() > propagatedAt + 1)
                            .map(FakeBackends.Dispatch::version)
                            .distinct()
                            .toList())
                    .containsExactly("small@2");
        }
    }
}
