package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.Answers;
import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.FakeFleet;
import io.heatherloft.standins.EngineStandIn;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class BackendPromisesTest {
    private final FakeFleet fleet = FakeFleet.ready(4, 4);

    @Nested
    final class WholeAnswers {
        @Test
        void a_stream_that_breaks_goes_on_elsewhere_and_reads_as_one() {
            fleet.backends.setBreakage(0.3);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 30; index++) {
                callers.add(fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "", true));
                fleet.schedule.advance(1_500);
            }
            fleet.schedule.advance(60_000);
            for (int index = 0; index < callers.size(); index++) {
                FakeCaller caller = callers.get(index);
                if (caller.isFinished() && caller.status() == 200) {
                    assertThat(Answers.streamedText(caller))
                            .isEqualTo(Answers.expectedText(caller.header("Heatherloft-Version"), "question " + index));
                }
            }
            assertThat(callers.stream().filter(FakeCaller::isFinished).count()).isAtLeast(27L);
        }

        @Test
        void an_answer_that_cannot_be_completed_is_broken_off_and_not_ended() {
            FakeCaller caller = fleet.chat(fleet.host(0), "small", "covered?", "", "", true);
            fleet.schedule.advance(100);
            assertThat(caller.body()).isNotEmpty();
            fleet.backends.addresses().forEach(fleet.backends::crash);
            fleet.schedule.advance(130_000);
            assertThat(caller.isAborted()).isTrue();
            assertThat(caller.body()).doesNotContain("[DONE]");
        }
    }

    @Nested
    final class LeavingBackendServers {
        @Test
        void receive_nothing_three_seconds_after_the_first_host_notices() {
            fleet.backends.leave("small-1", fleet.schedule.nowMillis());
            long noticed = fleet.schedule.nowMillis() + 1_000;
            for (int index = 0; index < 100; index++) {
                fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "", true);
                fleet.schedule.advance(100);
            }
            assertThat(fleet.backends.dispatches().stream()
                            .filter(dispatch -> dispatch.address().equals("small-1"))
                            .filter(dispatch -> dispatch.atMillis() > noticed + 3_000)
                            .toList())
                    .isEmpty();
        }

        @Test
        void that_refuse_a_request_cost_its_caller_nothing() {
            List.of("small-0", "small-1", "small-2")
                    .forEach(address -> fleet.backends.leave(address, fleet.schedule.nowMillis()));
            FakeCaller caller = fleet.chat(fleet.host(0), "small", "covered?", "", "", true);
            FakeCaller booked = fleet.book(fleet.host(0), "swap", "id-1");
            fleet.schedule.advance(3_000);
            assertThat(caller.isFinished()).isTrue();
            assertThat(caller.status()).isEqualTo(200);
            assertThat(booked.status()).isEqualTo(201);
        }
    }

    @Nested
    final class CrashingRequests {
        @Test
        void cost_the_fleet_two_backend_servers_however_often_they_are_sent() {
            for (int index = 0; index < 12; index++) {
                fleet.chat(fleet.host(index % 4), "small", EngineStandIn.CRASH_PROMPT, "", "", true);
                fleet.schedule.advance(4_000);
                fleet.backends.addresses().forEach(address -> {
                    if (address.startsWith("small")) {
                        fleet.backends.restart(address);
                    }
                });
            }
            assertThat(fleet.backends.crashes()).isAtMost(2);
        }

        @Test
        void cost_the_fleet_two_backend_servers_when_sent_to_all_hosts_at_once() {
            for (int index = 0; index < 4; index++) {
                fleet.chat(fleet.host(index), "small", EngineStandIn.CRASH_PROMPT, "", "", true);
            }
            fleet.schedule.advance(30_000);
            assertThat(fleet.backends.crashes()).isAtMost(2);
        }

        @Test
        void leave_the_innocent_beside_them_with_their_answers() {
            List<FakeCaller> innocent = new ArrayList<>();
            for (int index = 0; index < 24; index++) {
                innocent.add(fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "", true));
            }
            FakeCaller crashing = fleet.chat(fleet.host(0), "small", EngineStandIn.CRASH_PROMPT, "", "", true);
            fleet.schedule.advance(60_000);
            innocent.forEach(caller -> assertThat(caller.status()).isEqualTo(200));
            innocent.forEach(caller -> assertThat(caller.isFinished()).isTrue());
            assertThat(crashing.isEnded()).isTrue();
            assertThat(fleet.backends.crashes()).isAtMost(2);
        }
    }
}
