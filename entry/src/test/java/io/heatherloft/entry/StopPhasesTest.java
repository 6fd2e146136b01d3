package io.heatherloft.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class StopPhasesTest {
    @Nested
    final class AStopThatWasRequestedDuringTheStart {
        // The phases counted from the end of the start, so that the process was killed before its requests were ended.
        @Test
        void ends_within_the_grace_period_of_the_request() {
            StopPhases phases = StopPhases.of(8_000).after(3_000);
            assertThat(phases.acceptEndMillis()).isEqualTo(0);
            assertThat(phases.requestEndMillis()).isEqualTo(4_300);
            assertThat(phases.outputEndMillis()).isLessThan(5_000);
        }

        @Test
        void that_took_the_whole_grace_period_ends_at_once() {
            assertThat(StopPhases.of(8_000).after(9_000)).isEqualTo(new StopPhases(0, 0, 0, 0));
        }
    }

    @Nested
    final class ThePhases {
        // With a fixed margin, a short grace period had its streams cut before its last sixth.
        @ParameterizedTest
        @ValueSource(longs = {600, 2_000, 4_000, 8_000, 30_000})
        void cut_streams_in_the_last_sixth_only_and_follow_one_another(long gracePeriodMillis) {
            StopPhases phases = StopPhases.of(gracePeriodMillis);
            assertThat(6 * (gracePeriodMillis - phases.requestEndMillis())).isAtMost(gracePeriodMillis);
            assertThat(phases.lastResponseMillis()).isAtMost(phases.acceptEndMillis());
            assertThat(phases.acceptEndMillis()).isAtMost(phases.requestEndMillis());
            assertThat(phases.requestEndMillis()).isLessThan(phases.outputEndMillis());
            assertThat(phases.outputEndMillis()).isLessThan(gracePeriodMillis);
        }
    }
}
