package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against review case 8 (BUDGET): crashes for other reasons counted alike, wherever and whenever they happened. */
final class BackgroundCrashesTest {
    private static final int ADDRESSES = 20;
    private static final long NOW = 100_000;
    private final BackgroundCrashes crashes = new BackgroundCrashes();

    // The server at an address crashes every 1.4 s, at last just before a time.
    private void flap(long address, long untilMillis) {
        LongStream.range(0, 7)
                .forEach(index -> crashes.record(100 * address + index, address, untilMillis - 10 - index * 1_400));
    }

    private double chance(long address) {
        return crashes.chance(address, NOW, _server -> false, ADDRESSES);
    }

    @Nested
    final class AnAddressThatCrashesAgainAndAgain {
        @Test
        void explains_its_own_crashes_and_hardly_those_of_others() {
            flap(1, NOW);
            flap(2, NOW);
            assertThat(chance(1)).isGreaterThan(0.5);
            assertThat(chance(3)).isLessThan(0.1);
        }

        @Test
        void explains_nothing_if_the_cause_is_known() {
            flap(1, NOW);
            assertThat(crashes.chance(1, NOW, _server -> true, ADDRESSES)).isEqualTo(BackgroundCrashes.MIN_CHANCE);
        }
    }

    @Nested
    final class AllAddressesThatCrash {
        @Test
        void make_a_crash_likely_everywhere() {
            LongStream.range(0, ADDRESSES).forEach(address -> flap(address, NOW - address * 50));
            assertThat(chance(ADDRESSES + 1L)).isGreaterThan(0.5);
        }

        @Test
        void do_so_neither_before_nor_long_after() {
            LongStream.range(0, ADDRESSES).forEach(address -> flap(address, NOW + 20_000));
            assertThat(chance(1)).isEqualTo(BackgroundCrashes.MIN_CHANCE);
            assertThat(crashes.chance(1, NOW + 40_000, _server -> false, ADDRESSES))
                    .isEqualTo(BackgroundCrashes.MIN_CHANCE);
        }
    }
}
