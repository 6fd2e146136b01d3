package io.heatherloft.domain;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.cascade.EscalationThreshold;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The load of a burst on engines: times to the first event rise to the objective and beyond within seconds. */
final class EscalationThresholdTest {
    private final EscalationThreshold threshold = new EscalationThreshold();

    private void record(int answers, long firstEventMillis, long fromMillis) {
        for (int answer = 0; answer < answers; answer++) {
            threshold.record(firstEventMillis, 1_500, fromMillis + answer * 50L);
        }
    }

    @Nested
    final class Engines {
        @Test
        void that_answer_at_once_leave_the_usual_threshold() {
            record(100, 200, 0);
            assertThat(threshold.at(5_000)).isEqualTo(EscalationThreshold.USUAL);
        }

        @Test
        void that_a_burst_overloads_get_few_requests_for_larger_models() {
            record(100, 200, 0);
            record(40, 3_000, 5_000);
            assertThat(threshold.at(7_000)).isEqualTo(EscalationThreshold.LEAST);
        }

        @Test
        void that_recover_get_them_again() {
            record(60, 3_000, 0);
            record(100, 200, 3_000);
            assertThat(threshold.at(8_000)).isEqualTo(EscalationThreshold.USUAL);
        }

        @Test
        void that_are_not_heard_of_get_them_again_after_some_seconds() {
            record(60, 3_000, 0);
            assertThat(threshold.at(15_000)).isEqualTo(EscalationThreshold.USUAL);
        }
    }
}
