package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.daemon.fakes.RandomScenario;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Injects random faults at any time, also several at once and repeatedly, and checks the ten guarantees after every
 * step. To replay a failing seed with its trace, set {@code heatherloft.first-seed} to it and {@code heatherloft.seeds}
 * to 1.
 */
final class RandomFaultTest {
    private static final long FIRST_SEED = Long.getLong("heatherloft.first-seed", 1L);
    private static final long SEEDS = Long.getLong("heatherloft.seeds", 1_000L);

    @Test
    void the_guarantees_hold_for_every_seed() {
        List<String> violations = LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .mapToObj(RandomFaultTest::findViolation)
                .flatMap(Optional::stream)
                .toList();
        assertWithMessage(violations.size() + " seeds violated a guarantee:\n" + String.join("\n", violations))
                .that(violations)
                .isEmpty();
    }

    @Test
    void runs_with_the_same_seed_are_identical() {
        assertThat(new RandomScenario(FIRST_SEED).run().trace())
                .isEqualTo(new RandomScenario(FIRST_SEED).run().trace());
    }

    private static Optional<String> findViolation(long seed) {
        RandomScenario scenario = new RandomScenario(seed);
        try {
            scenario.run();
            return Optional.empty();
        } catch (RuntimeException exception) {
            String trace = SEEDS == 1 ? "\n" + String.join("\n", scenario.trace()) : "";
            return Optional.of("seed " + seed + ": " + exception + trace);
        }
    }
}
