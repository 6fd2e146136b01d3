package io.heatherloft.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.heatherloft.daemon.fakes.FakeCaller;
import io.heatherloft.daemon.fakes.FakeFleet;
import io.heatherloft.daemon.fakes.WrittenLedger;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class LedgerPromisesTest {
    private final FakeFleet fleet = FakeFleet.ready(1, 4);
    private final WrittenLedger written = new WrittenLedger(fleet.store);

    @Nested
    final class BilledExactlyOnce {
        @Test
        void two_sends_of_one_id_on_two_hosts_give_one_bill() {
            FakeCaller first = fleet.chat(fleet.host(0), "small", "covered?", "", "id-1", true);
            FakeCaller second = fleet.chat(fleet.host(1), "small", "covered?", "", "id-1", true);
            fleet.schedule.advance(5_000);
            assertThat(first.isFinished()).isTrue();
            assertThat(second.isFinished()).isTrue();
            assertThat(written.billsByRequest()).containsExactly("id-1", 1L);
        }

        @Test
        void another_body_under_the_same_id_is_another_request() {
            fleet.chat(fleet.host(0), "small", "covered?", "", "id-1", false);
            fleet.chat(fleet.host(1), "small", "covered tomorrow?", "", "id-1", false);
            fleet.schedule.advance(5_000);
            assertThat(written.billsByRequest()).containsExactly("id-1", 2L);
        }

        @Test
        void lost_answers_of_the_store_bill_nothing_twice() {
            fleet.store.setLostAnswers(0.4);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 40; index++) {
                callers.add(fleet.chat(fleet.host(index % 4), "small", "question " + index, "", "id-" + index, true));
                fleet.schedule.advance(100);
            }
            fleet.store.setLostAnswers(0);
            fleet.schedule.advance(60_000);
            callers.forEach(caller -> assertThat(caller.isFinished()).isTrue());
            assertThat(written.billsByRequest()).hasSize(40);
            assertThat(written.billsByRequest().values().stream().distinct().toList())
                    .containsExactly(1L);
        }

        @Test
        void a_paused_owner_that_wakes_up_changes_nothing() {
            fleet.chat(fleet.host(0), "small", "before", "", "id-before", false);
            fleet.schedule.advance(3_000);
            FakeFleet.Host paused = fleet.hosts().stream()
                    .filter(host -> !host.core().ledger().ownedShards().isEmpty())
                    .findFirst()
                    .orElseThrow();
            paused.loop().pause();
            List<FakeFleet.Host> others =
                    fleet.hosts().stream().filter(host -> !host.equals(paused)).toList();
            for (int index = 0; index < 30; index++) {
                fleet.chat(others.get(index % 3), "small", "question " + index, "", "id-" + index, false);
                fleet.schedule.advance(400);
            }
            paused.loop().resume();
            fleet.chat(paused, "small", "question 3", "", "id-3", false);
            fleet.schedule.advance(20_000);
            assertThat(written.billsByRequest()).hasSize(31);
            assertThat(written.billsByRequest().values().stream().distinct().toList())
                    .containsExactly(1L);
        }

        @Test
        void an_answer_given_during_an_outage_is_billed_after_it_although_its_host_is_lost() {
            fleet.store.setDown(true);
            FakeCaller caller = fleet.chat(fleet.host(0), "small", "covered?", "", "id-1", true);
            fleet.schedule.advance(5_000);
            assertThat(caller.isFinished()).isTrue();
            fleet.host(0).loop().kill();
            fleet.schedule.advance(10_000);
            fleet.store.setDown(false);
            fleet.schedule.advance(30_000);
            assertThat(written.billsByRequest()).containsExactly("id-1", 1L);
        }

        @Test
        void a_resend_is_recognised_after_the_log_was_folded_and_every_host_replaced() {
            fleet.chat(fleet.host(0), "small", "covered?", "", "id-1", false);
            fleet.schedule.advance(2_000);
            for (int index = 0; index < 2_400; index++) {
                fleet.chat(fleet.host(index % 4), "small", "filler " + index, "", "filler-" + index, false);
                fleet.schedule.advance(25);
            }
            fleet.schedule.advance(5_000);
            long folds = fleet.store.memory().range("heatherloft/ledger/", "heatherloft/ledger/~").stream()
                    .filter(value -> value.key().contains("/segment/"))
                    .count();
            assertThat(folds).isGreaterThan(0L);
            for (int index = 0; index < 4; index++) {
                fleet.host(index).loop().kill();
            }
            fleet.schedule.advance(1_000);
            FakeFleet.Host replacement = fleet.start("host-7");
            fleet.schedule.advance(12_000);
            FakeCaller resent = fleet.chat(replacement, "small", "covered?", "", "id-1", false);
            fleet.schedule.advance(10_000);
            assertThat(resent.isFinished()).isTrue();
            assertThat(written.billsByRequest().get("id-1")).isEqualTo(1L);
        }
    }

    @Nested
    final class AtMostOnce {
        @Test
        void a_resend_to_another_host_gets_the_recorded_answer() {
            FakeCaller first = fleet.book(fleet.host(0), "swap chair 4", "id-1");
            fleet.schedule.advance(2_000);
            FakeCaller second = fleet.book(fleet.host(1), "swap chair 4", "id-1");
            fleet.schedule.advance(2_000);
            assertThat(second.body()).isEqualTo(first.body());
            assertThat(second.header("Heatherloft-Replayed")).isEqualTo("true");
            assertThat(fleet.backends.bookings()).containsExactly("swap chair 4");
        }

        @Test
        void sends_to_all_hosts_at_once_run_once() {
            for (int index = 0; index < 4; index++) {
                fleet.book(fleet.host(index), "swap chair 4", "id-1");
            }
            fleet.schedule.advance(5_000);
            assertThat(fleet.backends.bookings()).containsExactly("swap chair 4");
        }

        @Test
        void a_host_lost_between_claim_and_answer_leaves_the_outcome_unknown_and_never_runs_again() {
            fleet.book(fleet.host(0), "swap chair 4", "id-1");
            while (fleet.backends.bookings().isEmpty()) {
                fleet.schedule.advance(1);
            }
            fleet.host(0).loop().kill();
            fleet.schedule.advance(10_000);
            FakeCaller resent = fleet.book(fleet.host(1), "swap chair 4", "id-1");
            fleet.schedule.advance(5_000);
            assertThat(resent.status()).isEqualTo(409);
            assertThat(resent.header("Heatherloft-Run")).isEqualTo("unknown");
            assertThat(fleet.backends.bookings()).containsExactly("swap chair 4");
        }

        @Test
        void a_backend_server_lost_in_mid_answer_is_not_asked_again() {
            fleet.backends.setBreakage(1.0);
            List<FakeCaller> callers = new ArrayList<>();
            for (int index = 0; index < 20; index++) {
                callers.add(fleet.book(fleet.host(index % 4), "swap " + index, "id-" + index));
                fleet.schedule.advance(500);
            }
            fleet.schedule.advance(10_000);
            callers.forEach(
                    caller -> assertThat(caller.header("Heatherloft-Run")).isEqualTo("unknown"));
            assertThat(fleet.backends.bookings()).containsNoDuplicates();
        }

        @Test
        void a_store_outage_refuses_with_not_run_and_nothing_runs() {
            fleet.store.setDown(true);
            FakeCaller caller = fleet.book(fleet.host(0), "swap chair 4", "id-1");
            fleet.schedule.advance(10_000);
            assertThat(caller.header("Heatherloft-Run")).isEqualTo("not-run");
            assertThat(caller.status()).isEqualTo(503);
            assertThat(fleet.backends.bookings()).isEmpty();
        }

        @Test
        void a_claim_of_unknown_outcome_never_runs_while_it_is_told_as_not_run() {
            fleet.store.setLostAnswers(1.0);
            FakeCaller first = fleet.book(fleet.host(0), "swap chair 4", "id-1");
            fleet.schedule.advance(8_000);
            boolean saidNotRun = first.header("Heatherloft-Run").equals("not-run");
            assertWithMessage("not-run said although it ran")
                    .that(saidNotRun && !fleet.backends.bookings().isEmpty())
                    .isFalse();
            fleet.store.setLostAnswers(0);
            fleet.schedule.advance(10_000);
            fleet.book(fleet.host(1), "swap chair 4", "id-1");
            fleet.schedule.advance(10_000);
            assertThat(fleet.backends.bookings()).containsNoDuplicates();
        }

        @Test
        void another_booking_under_the_same_id_is_refused() {
            fleet.book(fleet.host(0), "swap chair 4", "id-1");
            fleet.schedule.advance(2_000);
            FakeCaller other = fleet.book(fleet.host(1), "swap chair 5", "id-1");
            fleet.schedule.advance(2_000);
            assertThat(other.status()).isEqualTo(422);
            assertThat(fleet.backends.bookings()).containsExactly("swap chair 4");
        }
    }
}
