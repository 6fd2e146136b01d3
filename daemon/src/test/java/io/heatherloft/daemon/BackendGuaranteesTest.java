package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.daemon.fakes.AnswerText;
import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.SimulatedFleet;
import io.heatherloft.standins.EngineStandIn;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class BackendGuaranteesTest {
    private final SimulatedFleet fleet = SimulatedFleet.ready(4, 4);

    @Nested
    final class InterruptedStreams {
        @Test
        void a_broken_stream_is_resumed_on_another_backend_server_without_gap_or_overlap() {
            fleet.backends.setBreakProbability(0.3);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 30; index++) {
                callers.add(fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "", true));
                fleet.scheduler.advance(1_500);
            }
            fleet.scheduler.advance(60_000);
            for (int index = 0; index < callers.size(); index++) {
                FakeCaller caller = callers.get(index);
                if (caller.isFinished() && caller.status() == 200) {
                    assertThat(AnswerText.streamedText(caller))
                            .isEqualTo(
                                    AnswerText.expectedText(caller.header("Heatherloft-Version"), "question " + index));
                }
            }
            assertThat(callers.stream().filter(FakeCaller::isFinished).count()).isAtLeast(27L);
        }

        @Test
        void an_answer_that_cannot_be_completed_is_aborted_without_an_end_marker() {
            FakeCaller caller = fleet.chat(fleet.host(0), "small", "covered?", "", "", true);
            fleet.scheduler.advance(100);
            assertThat(caller.body()).isNotEmpty();
            fleet.backends.addresses().forEach(fleet.backends::crash);
            fleet.scheduler.advance(130_000);
            assertThat(caller.isAborted()).isTrue();
            assertThat(caller.body()).doesNotContain("[DONE]");
        }
    }

    @Nested
    final class LeavingBackendServers {
        @Test
        void receive_no_requests_three_seconds_after_the_first_host_detects_it() {
            fleet.backends.startLeaving("small-1", fleet.scheduler.nowMillis());
            long detectedBy = fleet.scheduler.nowMillis() + 1_000;
            for (int index = 0; index < 100; index++) {
                fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "", true);
                fleet.scheduler.advance(100);
            }
            assertThat(fleet.backends.dispatches().stream()
                            .filter(dispatch -> dispatch.address().equals("small-1"))
                            .filter(dispatch -> dispatch.atMillis() > detectedBy + 3_000)
                            .toList())
                    .isEmpty();
        }

        @Test
        void that_refuse_a_request_cause_a_retry_and_no_error() {
            List.of("small-0", "small-1", "small-2")
                    .forEach(address -> fleet.backends.startLeaving(address, fleet.scheduler.nowMillis()));
            FakeCaller caller = fleet.chat(fleet.host(0), "small", "covered?", "", "", true);
            FakeCaller booked = fleet.book(fleet.host(0), "swap", "id-1");
            fleet.scheduler.advance(3_000);
            assertThat(caller.isFinished()).isTrue();
            assertThat(caller.status()).isEqualTo(200);
            assertThat(booked.status()).isEqualTo(201);
        }
    }

    @Nested
    final class CrashingRequests {
        @Test
        void crash_at_most_two_backend_servers_however_often_they_are_sent() {
            for (int index = 0; index < 12; index++) {
                fleet.chat(fleet.host(index % 4), "small", EngineStandIn.CRASH_PROMPT, "", "", true);
                fleet.scheduler.advance(4_000);
                fleet.backends.addresses().forEach(address -> {
                    if (address.startsWith("small")) {
                        fleet.backends.restart(address);
                    }
                });
            }
            assertThat(fleet.backends.crashCount()).isAtMost(2);
        }

        @Test
        void crash_at_most_two_backend_servers_when_sent_to_all_hosts_at_once() {
            for (int index = 0; index < 4; index++) {
                fleet.chat(fleet.host(index), "small", EngineStandIn.CRASH_PROMPT, "", "", true);
            }
            fleet.scheduler.advance(30_000);
            assertThat(fleet.backends.crashCount()).isAtMost(2);
        }

        @Test
        void do_not_prevent_concurrent_requests_from_completing() {
            List<FakeCaller> concurrent = new ArrayList<>();
            for (int index = 0; index < 24; index++) {
                concurrent.add(fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "", true));
            }
            FakeCaller crashing = fleet.chat(fleet.host(0), "small", EngineStandIn.CRASH_PROMPT, "", "", true);
            fleet.scheduler.advance(60_000);
            concurrent.forEach(caller -> assertThat(caller.status()).isEqualTo(200));
            concurrent.forEach(caller -> assertThat(caller.isFinished()).isTrue());
            assertThat(crashing.isEnded()).isTrue();
            assertThat(fleet.backends.crashCount()).isAtMost(2);
        }
    }
}
