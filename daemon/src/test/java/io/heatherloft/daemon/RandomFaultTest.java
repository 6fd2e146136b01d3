package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.daemon.fakes.RandomScenario;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Runs random faults, "any of them at any moment, together or twice", and checks the ten promises after every step. */
final class RandomFaultTest {
    private static final long FIRST_SEED = Long.getLong("heatherloft.first-seed", 1L);
    private static final long SEEDS = Long.getLong("heatherloft.seeds", 1_000L);

    @Test
    void the_guarantees_hold_for_every_seed() {
        List<String> broken = LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .mapToObj(RandomFaultTest::findViolation)
                .flatMap(Optional::stream)
                .toList();
        assertWithMessage(broken.size() + " seeds broke a promise:\n" + String.join("\n", broken))
                .that(broken)
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
