package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.DurableLedger;
import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.SampleConfiguration;
import io.heatherloft.daemon.fakes.SimulatedFleet;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ShutdownAndLimitsTest {
    private final SimulatedFleet fleet = SimulatedFleet.ready(5, 4);
    private final DurableLedger durableLedger = new DurableLedger(fleet.store);

    @Nested
    final class GracefulShutdown {
        @Test
        void a_rolling_restart_under_load_loses_no_request_and_no_bill() {
            List<FakeCaller> callers = new ArrayList<>();
            for (int round = 0; round < 4; round++) {
                SimulatedFleet.Host stopping = fleet.host(round);
                boolean[] stopped = new boolean[1];
                stopping.loop()
                        .execute(() -> Futures.onResult(stopping.core().stop(1_000, 60_000), _done -> {
                            stopped[0] = true;
                            stopping.loop().kill();
                        }));
                long balancerStopsAt = fleet.scheduler.nowMillis() + 900;
                while (!stopped[0]) {
                    SimulatedFleet.Host target =
                            fleet.scheduler.nowMillis() < balancerStopsAt ? stopping : fleet.host((round + 1) % 4);
                    callers.add(fleet.chat(
                            target, "small", "question " + callers.size(), "", "id-" + callers.size(), true));
                    fleet.scheduler.advance(50);
                }
                fleet.start("host-" + round);
                fleet.scheduler.advance(6_000);
            }
            fleet.scheduler.advance(20_000);
            callers.forEach(caller -> assertThat(caller.status()).isEqualTo(200));
            callers.forEach(caller -> assertThat(caller.isFinished()).isTrue());
            assertThat(durableLedger.billCountsByRequest()).hasSize(callers.size());
            assertThat(durableLedger.billCountsByRequest().values().stream()
                            .distinct()
                            .toList())
                    .containsExactly(1L);
        }

        @Test
        void new_requests_are_refused_as_not_run_after_the_notice_period() {
            fleet.host(0)
                    .loop()
                    .execute(() -> Futures.onResult(fleet.host(0).core().stop(500, 60_000), _done -> {}));
            fleet.scheduler.advance(400);
            FakeCaller running = fleet.chat(fleet.host(0), "small", "covered?", "", "", true);
            fleet.scheduler.advance(110);
            FakeCaller refused = fleet.chat(fleet.host(0), "small", "covered?", "", "", true);
            fleet.scheduler.advance(10_000);
            assertThat(running.isFinished()).isTrue();
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.header("Heatherloft-Run")).isEqualTo("not-run");
        }
    }

    @Nested
    final class Limits {
        private static final int MAX_IN_FLIGHT_PER_SERVER = 2;

        private int countCompletedDuring(long millis, int requestsPerStep, long stepMillis) {
            List<FakeCaller> callers = new ArrayList<>();
            long end = fleet.scheduler.nowMillis() + millis;
            int number = 0;
            while (fleet.scheduler.nowMillis() < end) {
                for (int index = 0; index < requestsPerStep; index++) {
                    callers.add(fleet.chat(fleet.host(0), "small", "question " + number++, "", "", true));
                }
                fleet.scheduler.advance(stepMillis);
            }
            return (int) callers.stream()
                    .filter(caller -> caller.isFinished() && caller.status() == 200)
                    .count();
        }

        @Test
        void goodput_at_twice_the_capacity_is_at_least_90_percent_of_goodput_at_capacity() {
            Futures.onResult(
                    fleet.apply(new SampleConfiguration().sharePercent(0).limits(64, 16, MAX_IN_FLIGHT_PER_SERVER)),
                    _outcome -> {});
            fleet.scheduler.advance(8_000);
            int atCapacity = countCompletedDuring(30_000, 2, 100);
            fleet.scheduler.advance(20_000);
            int overloaded = countCompletedDuring(30_000, 4, 100);
            assertThat(overloaded).isAtLeast((int) (atCapacity * 0.9));
        }

        @Test
        void requests_beyond_the_queue_limit_are_refused_immediately_with_retry_after() {
            Futures.onResult(
                    fleet.apply(new SampleConfiguration().sharePercent(0).limits(64, 4, 1)), _outcome -> {});
            fleet.scheduler.advance(8_000);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 40; index++) {
                callers.add(fleet.chat(fleet.host(0), "small", "question " + index, "", "", true));
            }
            fleet.scheduler.advance(10);
            List<FakeCaller> refused =
                    callers.stream().filter(caller -> caller.status() == 429).toList();
            assertThat(refused).isNotEmpty();
            refused.forEach(caller -> {
                assertThat(caller.header("Retry-After")).isNotEmpty();
                assertThat(caller.header("Heatherloft-Run")).isEqualTo("not-run");
            });
        }
    }
}
