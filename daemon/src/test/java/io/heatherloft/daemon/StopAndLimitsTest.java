package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.FakeConfiguration;
import io.heatherloft.daemon.fakes.FakeFleet;
import io.heatherloft.daemon.fakes.WrittenLedger;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StopAndLimitsTest {
    private final FakeFleet fleet = FakeFleet.ready(5, 4);
    private final WrittenLedger written = new WrittenLedger(fleet.store);

    @Nested
    final class GracefulStop {
        @Test
        void a_rolling_restart_of_every_host_under_load_loses_nothing() {
            List<FakeCaller> callers = new ArrayList<>();
            for (int round = 0; round < 4; round++) {
                FakeFleet.Host stopping = fleet.host(round);
                boolean[] stopped = new boolean[1];
                stopping.loop()
                        .execute(() -> Futures.onResult(stopping.core().stop(1_000, 60_000), _done -> {
                            stopped[0] = true;
                            stopping.loop().kill();
                        }));
                long balancerStopsAt = fleet.schedule.nowMillis() + 900;
                while (!stopped[0]) {
                    FakeFleet.Host target =
                            fleet.schedule.nowMillis() < balancerStopsAt ? stopping : fleet.host((round + 1) % 4);
                    callers.add(fleet.chat(
                            target, "small", "question " + callers.size(), "", "id-" + callers.size(), true));
                    fleet.schedule.advance(50);
                }
                fleet.start("host-" + round);
                fleet.schedule.advance(6_000);
            }
            fleet.schedule.advance(20_000);
            callers.forEach(caller -> assertThat(caller.status()).isEqualTo(200));
            callers.forEach(caller -> assertThat(caller.isFinished()).isTrue());
            assertThat(written.billsByRequest()).hasSize(callers.size());
            assertThat(written.billsByRequest().values().stream().distinct().toList())
                    .containsExactly(1L);
        }

        @Test
        void new_work_is_refused_as_not_run_after_the_notice() {
            fleet.host(0)
                    .loop()
                    .execute(() -> Futures.onResult(fleet.host(0).core().stop(500, 60_000), _done -> {}));
            fleet.schedule.advance(400);
            FakeCaller running = fleet.chat(fleet.host(0), "small", "covered?", "", "", true);
            fleet.schedule.advance(110);
            FakeCaller refused = fleet.chat(fleet.host(0), "small", "covered?", "", "", true);
            fleet.schedule.advance(10_000);
            assertThat(running.isFinished()).isTrue();
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.header("Heatherloft-Run")).isEqualTo("not-run");
        }
    }

    @Nested
    final class Limits {
        private static final int PER_SERVER = 2;

        private int completedIn(long millis, int requestsPerStep, long stepMillis) {
            List<FakeCaller> callers = new ArrayList<>();
            long end = fleet.schedule.nowMillis() + millis;
            int number = 0;
            while (fleet.schedule.nowMillis() < end) {
                for (int index = 0; index < requestsPerStep; index++) {
                    callers.add(fleet.chat(fleet.host(0), "small", "question " + number++, "", "", true));
                }
                fleet.schedule.advance(stepMillis);
            }
            return (int) callers.stream()
                    .filter(caller -> caller.isFinished() && caller.status() == 200)
                    .count();
        }

        @Test
        void twice_the_capacity_leaves_goodput_within_a_tenth_of_it() {
            Futures.onResult(
                    fleet.apply(new FakeConfiguration().sharePercent(0).limits(64, 16, PER_SERVER)), _outcome -> {});
            fleet.schedule.advance(8_000);
            int atCapacity = completedIn(30_000, 2, 100);
            fleet.schedule.advance(20_000);
            int overloaded = completedIn(30_000, 4, 100);
            assertThat(overloaded).isAtLeast((int) (atCapacity * 0.9));
        }

        @Test
        void a_refusal_says_when_to_come_back_and_comes_at_once() {
            Futures.onResult(fleet.apply(new FakeConfiguration().sharePercent(0).limits(64, 4, 1)), _outcome -> {});
            fleet.schedule.advance(8_000);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 40; index++) {
                callers.add(fleet.chat(fleet.host(0), "small", "question " + index, "", "", true));
            }
            fleet.schedule.advance(10);
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
