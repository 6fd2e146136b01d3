package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.StableHash;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ServerSpeedsTest {
    private static final long FADE_MILLIS = 10_000;
    private static final int SERVERS = 9;
    private static final String KIND = "llm/chat/large";

    private final ServerSpeeds speeds = new ServerSpeeds();
    private final Random random = new Random(4);
    private long now = 1_000_000;

    /** Every server answers once within 100 ms, in times that vary by a factor of up to 1.5. */
    private void answer(double... slowness) {
        IntStream.range(0, SERVERS).forEach(server -> {
            double millis = 150 * slowness[server % slowness.length] * (0.8 + 0.4 * random.nextDouble());
            speeds.recordResponse(server, KIND, Math.round(millis), now);
        });
        now += 100;
    }

    private void learn(double... slowness) {
        IntStream.range(0, 30).forEach(_round -> answer(slowness));
    }

    @Nested
    final class AFactor {
        // Servers of speeds 0.6, 1 and 1.6 were selected as if they were equal.
        @Test
        void separates_servers_of_three_speeds() {
            learn(1 / 0.6, 1, 1 / 1.6);
            for (int server = 0; server < SERVERS; server += 3) {
                assertThat(speeds.factor(server, now)).isGreaterThan(1.2 * speeds.factor(server + 1, now));
                assertThat(speeds.factor(server + 1, now)).isGreaterThan(1.2 * speeds.factor(server + 2, now));
            }
        }

        // A server that happens to run the longest prompts would seem slow if times were compared across kinds.
        @Test
        void is_close_to_1_if_only_the_kinds_of_requests_differ() {
            for (int round = 0; round < 30; round++) {
                IntStream.range(0, SERVERS).forEach(server -> {
                    speeds.recordResponse(server, server % 3 == 0 ? "long" : "short", server % 3 == 0 ? 900 : 30, now);
                });
                now += 100;
            }
            IntStream.range(0, SERVERS).forEach(server -> assertThat(speeds.factor(server, now))
                    .isWithin(0.01)
                    .of(1));
        }

        @Test
        void is_1_for_the_only_server_of_a_service() {
            IntStream.range(0, 100).forEach(_index -> speeds.recordResponse(1, KIND, 5_000, now));
            assertThat(speeds.factor(1, now)).isWithin(0.01).of(1);
        }

        @Test
        void stays_below_2_after_one_slow_response_and_passes_with_the_next_ones() {
            learn(1);
            speeds.recordResponse(3, KIND, 60_000, now);
            assertThat(speeds.factor(3, now)).isLessThan(2.0);
            learn(1);
            assertThat(speeds.factor(3, now)).isWithin(0.2).of(1);
        }

        @Test
        void stays_within_its_bounds_whatever_is_recorded() {
            learn(1);
            List<Double> reports = List.of(1e30, 1e-30, 0.0, -1.0, Double.NaN, Double.POSITIVE_INFINITY);
            for (int round = 0; round < 1_000; round++) {
                int server = random.nextInt(SERVERS);
                speeds.recordResponse(server, KIND, random.nextBoolean() ? 0 : Long.MAX_VALUE, now);
                speeds.recordReport(server, reports.get(random.nextInt(reports.size())), now - random.nextInt(20_000));
                assertThat(speeds.factor(server, now)).isAtLeast(ServerSpeeds.MIN_FACTOR - 1e-9);
                assertThat(speeds.factor(server, now)).isAtMost(ServerSpeeds.MAX_FACTOR + 1e-9);
            }
        }

        // A server that is avoided because it was slow gets no requests by which it could show that it has recovered.
        @ParameterizedTest
        @ValueSource(ints = {2, 4, 20})
        void returns_to_1_without_responses(int slowness) {
            learn(slowness, 1, 1, 1, 1, 1, 1, 1, 1);
            double learned = speeds.factor(0, now);
            assertThat(learned).isGreaterThan(1.4);
            double half = speeds.factor(0, now + FADE_MILLIS / 2);
            assertThat(half).isGreaterThan(1.0);
            assertThat(half).isLessThan(learned);
            assertThat(speeds.factor(0, now + FADE_MILLIS)).isWithin(1e-9).of(1);
        }

        @Test
        void is_unknown_for_a_new_incarnation() {
            learn(4, 1, 1, 1, 1, 1, 1, 1, 1);
            assertThat(speeds.factor(StableHash.of("server 0, restarted"), now)).isEqualTo(1.0);
        }
    }

    @Nested
    final class AReport {
        @Test
        void tells_only_of_servers_that_differ_and_of_recent_responses() {
            learn(4, 1, 1, 1, 1, 1, 1, 1, 1);
            assertThat(speeds.reportedFactor(0, now)).isGreaterThan(2.0);
            assertThat(speeds.reportedFactor(1, now)).isEqualTo(0.0);
            assertThat(speeds.reportedFactor(0, now + 2_100)).isEqualTo(0.0);
        }

        // Hosts that repeat each other's reports would keep a server slow for ever.
        @Test
        void is_not_passed_on() {
            learn(1);
            IntStream.range(0, 10).forEach(_index -> speeds.recordReport(0, 4, now));
            assertThat(speeds.factor(0, now)).isGreaterThan(2.0);
            assertThat(speeds.reportedFactor(0, now)).isEqualTo(0.0);
        }
    }
}
