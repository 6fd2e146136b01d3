package io.heatherloft.router.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.domain.routing.RetryBudget;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class RetryBudgetsTest {
    private static final double RATIO = 0.9;
    private static final int ALLOWANCE = 156;
    // As EntryHost: the rest covers what is in progress while a window ends.
    private static final double BUDGET_USE = 0.85;
    private static final int HOSTS = 58;
    private static final int WINDOW_MILLIS = 10_000;
    private static final int SIMULATED_MILLIS = 40_000;

    /** Hosts whose servers fail every request, and which learn of each other some time after they start. */
    private static final class Fleet {
        private final Random random;
        private final long discoveryMillis;
        private final List<RetryBudgets> hosts = new ArrayList<>();
        private final long[] startedAt = new long[HOSTS];
        private final List<Long> requests = new ArrayList<>();
        private final List<Long> retries = new ArrayList<>();
        private long now;

        Fleet(long seed, long learningMillis) {
            this.random = new Random(seed);
            this.discoveryMillis = learningMillis;
            IntStream.range(0, HOSTS).forEach(host -> hosts.add(newHost(host)));
        }

        private RetryBudgets newHost(int host) {
            return new RetryBudgets(
                    RATIO * BUDGET_USE, ALLOWANCE * BUDGET_USE, () -> now - startedAt[host] < discoveryMillis ? 1 : HOSTS);
        }

        void simulate(double requestsPerMilli, long restartAllAtMillis) {
            for (now = 0; now < SIMULATED_MILLIS; now++) {
                if (now == restartAllAtMillis) {
                    IntStream.range(0, HOSTS).forEach(host -> {
                        startedAt[host] = now;
                        hosts.set(host, newHost(host));
                    });
                }
                if (random.nextDouble() < requestsPerMilli) {
                    serve(hosts.get(random.nextInt(HOSTS)).of("s"));
                }
            }
        }

        private void serve(RetryBudget budget) {
            budget.recordRequest();
            requests.add(now);
            for (int retry = 0; retry < 2 && budget.tryAcquire(); retry++) {
                retries.add(now);
            }
        }

        double maxRetriesAboveRatio() {
            return LongStream.range(0, (SIMULATED_MILLIS - WINDOW_MILLIS) / 100)
                    .map(step -> step * 100)
                    .mapToDouble(from -> countInWindow(retries, from) - RATIO * countInWindow(requests, from))
                    .max()
                    .orElse(0);
        }

        private static long countInWindow(List<Long> times, long from) {
            return times.stream()
                    .filter(time -> time >= from && time < from + WINDOW_MILLIS)
                    .count();
        }
    }

    @Nested
    final class AllHostsTogether {
        @ParameterizedTest
        @ValueSource(doubles = {0.005, 0.05, 0.4})
        void stay_within_the_budget_in_every_window_while_every_request_fails(double requestsPerMilli) {
            for (long seed = 1; seed <= 5; seed++) {
                Fleet fleet = new Fleet(seed, 0);
                fleet.simulate(requestsPerMilli, -1);
                assertWithMessage("seed %s", seed).that(fleet.maxRetriesAboveRatio()).isAtMost(ALLOWANCE);
            }
        }

        @Test
        void stay_within_the_budget_when_all_restart_and_have_not_discovered_each_other() {
            for (long seed = 1; seed <= 5; seed++) {
                Fleet fleet = new Fleet(seed, 2_000);
                fleet.simulate(0.4, 15_000);
                assertWithMessage("seed %s", seed).that(fleet.maxRetriesAboveRatio()).isAtMost(ALLOWANCE);
            }
        }
    }

    @Nested
    final class AHost {
        @ParameterizedTest
        @ValueSource(ints = {1, 6, 58, 360})
        void grants_retries_on_a_larger_model_for_forty_percent_of_requests_in_a_fleet_of_any_size(int hostCount) {
            RetryBudget budget = new RetryBudgets(RATIO * BUDGET_USE, ALLOWANCE * BUDGET_USE, () -> hostCount).of("s");
            Random random = new Random(3);
            int wanted = 0;
            int granted = 0;
            for (int request = 0; request < 5_000; request++) {
                budget.recordRequest();
                if (random.nextInt(10) < 4) {
                    wanted++;
                    granted += budget.tryAcquireOptional() ? 1 : 0;
                }
            }
            assertThat((double) granted / wanted).isGreaterThan(0.9);
        }
    }
}
