package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.daemon.fakes.DurableLedger;
import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.SimulatedFleet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class LedgerGuaranteesTest {
    private final SimulatedFleet fleet = SimulatedFleet.ready(1, 4);
    private final DurableLedger durableLedger = new DurableLedger(fleet.store);

    @Nested
    final class BilledExactlyOnce {
        @Test
        void the_same_request_sent_to_two_hosts_is_billed_once() {
            FakeCaller first = fleet.chat(fleet.host(0), "small", "covered?", "", "id-1", true);
            FakeCaller second = fleet.chat(fleet.host(1), "small", "covered?", "", "id-1", true);
            fleet.scheduler.advance(5_000);
            assertThat(first.isFinished()).isTrue();
            assertThat(second.isFinished()).isTrue();
            assertThat(durableLedger.billCountsByRequest()).containsExactly("id-1", 1L);
        }

        @Test
        void a_different_body_with_the_same_id_is_billed_separately() {
            fleet.chat(fleet.host(0), "small", "covered?", "", "id-1", false);
            fleet.chat(fleet.host(1), "small", "covered tomorrow?", "", "id-1", false);
            fleet.scheduler.advance(5_000);
            assertThat(durableLedger.billCountsByRequest()).containsExactly("id-1", 2L);
        }

        @Test
        void lost_store_responses_cause_no_duplicate_bills() {
            fleet.store.setResponseLossProbability(0.4);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 40; index++) {
                callers.add(fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "id-" + index, true));
                fleet.scheduler.advance(100);
            }
            fleet.store.setResponseLossProbability(0);
            fleet.scheduler.advance(60_000);
            callers.forEach(caller -> assertThat(caller.isFinished()).isTrue());
            assertThat(durableLedger.billCountsByRequest()).hasSize(40);
            assertThat(durableLedger.billCountsByRequest().values().stream()
                            .distinct()
                            .toList())
                    .containsExactly(1L);
        }

        @Test
        void a_shard_owner_that_resumes_after_a_pause_causes_no_duplicate_bills() {
            fleet.chat(fleet.host(0), "small", "before", "", "id-before", false);
            fleet.scheduler.advance(3_000);
            SimulatedFleet.Host paused = fleet.hosts().stream()
                    .filter(host -> !host.core().ledger().ownedShards().isEmpty())
                    .findFirst()
                    .orElseThrow();
            paused.loop().pause();
            List<SimulatedFleet.Host> others =
                    fleet.hosts().stream().filter(host -> !host.equals(paused)).toList();
            for (int index = 0; index < 30; index++) {
                fleet.chat(others.get(index % 3), "small", "question " + index, "", "id-" + index, false);
                fleet.scheduler.advance(400);
            }
            paused.loop().resume();
            fleet.chat(paused, "small", "question 3", "", "id-3", false);
            fleet.scheduler.advance(20_000);
            assertThat(durableLedger.billCountsByRequest()).hasSize(31);
            assertThat(durableLedger.billCountsByRequest().values().stream()
                            .distinct()
                            .toList())
                    .containsExactly(1L);
        }

        @Test
        void an_answer_given_during_a_store_outage_is_billed_afterwards_although_its_host_crashed() {
            fleet.store.setDown(true);
            FakeCaller caller = fleet.chat(fleet.host(0), "small", "covered?", "", "id-1", true);
            fleet.scheduler.advance(5_000);
            assertThat(caller.isFinished()).isTrue();
            fleet.host(0).loop().kill();
            fleet.scheduler.advance(10_000);
            fleet.store.setDown(false);
            fleet.scheduler.advance(30_000);
            assertThat(durableLedger.billCountsByRequest()).containsExactly("id-1", 1L);
        }

        @Test
        void a_resend_is_recognised_after_log_compaction_and_replacement_of_every_host() {
            fleet.chat(fleet.host(0), "small", "covered?", "", "id-1", false);
            fleet.scheduler.advance(2_000);
            for (int index = 0; index < 2_400; index++) {
                fleet.chat(fleet.host(index % 4), "small", "filler " + index, "", "filler-" + index, false);
                fleet.scheduler.advance(25);
            }
            fleet.scheduler.advance(5_000);
            long segments = fleet.store.memory().range("heatherloft/ledger/", "heatherloft/ledger/~").stream()
                    .filter(value -> value.key().contains("/segment/"))
                    .count();
            assertThat(segments).isGreaterThan(0L);
            for (int index = 0; index < 4; index++) {
                fleet.host(index).loop().kill();
            }
            fleet.scheduler.advance(1_000);
            SimulatedFleet.Host replacement = fleet.start("host-7");
            fleet.scheduler.advance(12_000);
            FakeCaller resent = fleet.chat(replacement, "small", "covered?", "", "id-1", false);
            fleet.scheduler.advance(10_000);
            assertThat(resent.isFinished()).isTrue();
            assertThat(durableLedger.billCountsByRequest().get("id-1")).isEqualTo(1L);
        }
    }

    @Nested
    final class AtMostOnce {
        @Test
        void a_resend_to_another_host_gets_the_recorded_answer() {
            FakeCaller first = fleet.book(fleet.host(0), "swap chair 4", "id-1");
            fleet.scheduler.advance(2_000);
            FakeCaller second = fleet.book(fleet.host(1), "swap chair 4", "id-1");
            fleet.scheduler.advance(2_000);
            assertThat(second.body()).isEqualTo(first.body());
            assertThat(second.header("Heatherloft-Replayed")).isEqualTo("true");
            assertThat(fleet.backends.bookings()).containsExactly("swap chair 4");
        }

        @Test
        void concurrent_sends_to_all_hosts_run_once() {
            for (int index = 0; index < 4; index++) {
                fleet.book(fleet.host(index), "swap chair 4", "id-1");
            }
            fleet.scheduler.advance(5_000);
            assertThat(fleet.backends.bookings()).containsExactly("swap chair 4");
        }

        @Test
        void a_host_crash_between_claim_and_answer_leaves_the_outcome_unknown_without_a_second_run() {
            fleet.book(fleet.host(0), "swap chair 4", "id-1");
            while (fleet.backends.bookings().isEmpty()) {
                fleet.scheduler.advance(1);
            }
            fleet.host(0).loop().kill();
            fleet.scheduler.advance(10_000);
            FakeCaller resent = fleet.book(fleet.host(1), "swap chair 4", "id-1");
            fleet.scheduler.advance(5_000);
            assertThat(resent.status()).isEqualTo(409);
            assertThat(resent.header("Heatherloft-Run")).isEqualTo("unknown");
            assertThat(fleet.backends.bookings()).containsExactly("swap chair 4");
        }

        @Test
        void a_connection_broken_during_the_answer_is_not_retried() {
            fleet.backends.setBreakProbability(1.0);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 20; index++) {
                callers.add(fleet.book(fleet.host(index % 4), "swap " + index, "id-" + index));
                fleet.scheduler.advance(500);
            }
            fleet.scheduler.advance(10_000);
            callers.forEach(
                    caller -> assertThat(caller.header("Heatherloft-Run")).isEqualTo("unknown"));
            assertThat(fleet.backends.bookings()).containsNoDuplicates();
        }

        @Test
        void requests_during_a_store_outage_are_refused_as_not_run() {
            fleet.store.setDown(true);
            FakeCaller caller = fleet.book(fleet.host(0), "swap chair 4", "id-1");
            fleet.scheduler.advance(10_000);
            assertThat(caller.header("Heatherloft-Run")).isEqualTo("not-run");
            assertThat(caller.status()).isEqualTo(503);
            assertThat(fleet.backends.bookings()).isEmpty();
        }

        @Test
        void a_claim_of_unknown_outcome_is_never_reported_as_not_run_and_then_executed() {
            fleet.store.setResponseLossProbability(1.0);
            FakeCaller first = fleet.book(fleet.host(0), "swap chair 4", "id-1");
            fleet.scheduler.advance(8_000);
            boolean reportedNotRun = first.header("Heatherloft-Run").equals("not-run");
            assertWithMessage("reported as not-run although the booking ran")
                    .that(reportedNotRun && !fleet.backends.bookings().isEmpty())
                    .isFalse();
            fleet.store.setResponseLossProbability(0);
            fleet.scheduler.advance(10_000);
            fleet.book(fleet.host(1), "swap chair 4", "id-1");
            fleet.scheduler.advance(10_000);
            assertThat(fleet.backends.bookings()).containsNoDuplicates();
        }

        @Test
        void a_different_booking_with_the_same_id_is_refused() {
            fleet.book(fleet.host(0), "swap chair 4", "id-1");
            fleet.scheduler.advance(2_000);
            FakeCaller other = fleet.book(fleet.host(1), "swap chair 5", "id-1");
            fleet.scheduler.advance(2_000);
            assertThat(other.status()).isEqualTo(422);
            assertThat(fleet.backends.bookings()).containsExactly("swap chair 4");
        }
    }
}
