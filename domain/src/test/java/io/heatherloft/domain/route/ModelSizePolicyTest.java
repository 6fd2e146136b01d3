package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Loads of a service and the model sizes that its requests get. */
final class ModelSizePolicyTest {
    private static DoubleStream loads() {
        return IntStream.rangeClosed(0, 150).mapToDouble(percent -> percent / 100.0);
    }

    /** Calm: a quarter to a third of the answers that small models stated to be sure of were poor, while servers were idle. */
    @Nested
    final class WhileThereIsCapacity {
        @Test
        void all_requests_start_with_the_largest_model() {
            IntStream.rangeClosed(0, 9)
                    .forEach(priority -> assertThat(ModelSizePolicy.startsWithLargest(0.25, priority))
                            .isTrue());
        }
    }

    /** A burst: the largest model takes ten times the work of the smallest, so all servers would fill up. */
    @Nested
    final class UnderRisingLoad {
        @Test
        void requests_of_low_priority_give_way_first() {
            loads().forEach(load -> IntStream.range(0, 9)
                    .filter(priority -> ModelSizePolicy.startsWithLargest(load, priority + 1))
                    .forEach(priority -> assertWithMessage("load %s, priority %s", load, priority)
                            .that(ModelSizePolicy.startsWithLargest(load, priority))
                            .isTrue()));
            assertThat(ModelSizePolicy.startsWithLargest(0.5, 0)).isTrue();
            assertThat(ModelSizePolicy.startsWithLargest(0.5, 2)).isFalse();
        }

        @Test
        void a_full_service_starts_no_request_with_the_largest_model() {
            loads().filter(load -> load >= 0.75).forEach(load -> assertThat(ModelSizePolicy.startsWithLargest(load, 0))
                    .isFalse());
        }

        @Test
        void fewer_responses_are_repeated_by_the_largest_model() {
            assertThat(ModelSizePolicy.minConfidence(0.5)).isGreaterThan(ModelSizePolicy.minConfidence(1));
            assertThat(ModelSizePolicy.minConfidence(1)).isGreaterThan(0);
        }
    }
}
