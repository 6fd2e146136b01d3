package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Incident BUDGET: what hid a request that crashes servers from the detector, and what must not be taken for one. */
final class CrashingRequestDetectorTest {
    private static final long CULPRIT = 1;
    private static final long BYSTANDER = 2;
    private final CrashingRequestDetector detector = new CrashingRequestDetector(0);

    private void crash(String server, long nowMillis, long... requests) {
        for (long request : requests) {
            detector.recordIncompleteAnswer(request, server, nowMillis, nowMillis);
        }
        detector.recordServerDown(server, nowMillis + 1);
    }

    @Nested
    final class AResponse {
        // One response cleared a request for a minute, in which no host counted its crashes.
        @Test
        void clears_a_request_of_earlier_crashes_only() {
            crash("a", 0, CULPRIT);
            detector.recordAnswered(CULPRIT, 1_000);
            IntStream.rangeClosed(1, 3).forEach(index -> crash("s" + index, 2_000L * index, CULPRIT));
            assertThat(detector.isBlocked(CULPRIT, 7_000)).isTrue();
        }

        @Test
        void clears_a_request_of_crashes_that_are_reported_after_it() {
            detector.recordAnswered(BYSTANDER, 0);
            crash("a", 1_000, BYSTANDER);
            crash("b", 2_000, BYSTANDER);
            detector.recordAnswered(BYSTANDER, 5_000);
            detector.mergeCrash(new CrashingRequestDetector.Crash(BYSTANDER, "c", 3_000), 6_000);
            detector.mergeCrash(new CrashingRequestDetector.Crash(BYSTANDER, "d", 4_000), 6_000);
            assertThat(detector.isBlocked(BYSTANDER, 7_000)).isFalse();
        }
    }

    @Nested
    final class ACrash {
        @Test
        void that_is_noticed_late_counts_against_runs_that_ended_after_it() {
            List.of("a", "b", "c").forEach(server -> {
                detector.recordServerDown(server, 0);
                detector.recordIncompleteAnswer(CULPRIT, server, 500, 500);
            });
            assertThat(detector.isBlocked(CULPRIT, 1_000)).isTrue();
        }

        @Test
        void for_which_one_request_is_blocked_does_not_count_against_another() {
            crash("a", 0, CULPRIT);
            List.of("b", "c", "d").forEach(server -> crash(server, 1_000, CULPRIT, BYSTANDER));
            assertThat(detector.isBlocked(CULPRIT, 2_000)).isTrue();
            assertThat(detector.isBlocked(BYSTANDER, 2_000)).isFalse();
        }

        @Test
        void counts_only_once_other_hosts_have_had_the_time_to_report_it() {
            CrashingRequestDetector settling = new CrashingRequestDetector(1_000);
            List.of("a", "b", "c").forEach(server -> {
                settling.recordIncompleteAnswer(CULPRIT, server, 0, 0);
                settling.recordServerDown(server, 0);
            });
            assertThat(settling.isBlocked(CULPRIT, 900)).isFalse();
            assertThat(settling.isBlocked(CULPRIT, 1_100)).isTrue();
        }
    }

    /** Guards against the refusal of a polled page after a loss of power ended three of its servers at once. */
    @Nested
    final class ServersThatCrashAtTheSameMoment {
        private void crashOf(String server, long startedMillis, long nowMillis) {
            detector.recordIncompleteAnswer(CULPRIT, server, startedMillis, nowMillis);
            detector.recordServerDown(server, nowMillis);
        }

        @Test
        void count_once_if_they_ran_the_request_together() {
            List.of("a", "b", "c", "d", "e").forEach(server -> crashOf(server, 900, 1_000));
            assertThat(detector.blocked(3_000)).isEmpty();
            List.of("f", "g", "h").forEach(server -> crashOf(server, 4_900, 5_000));
            assertThat(detector.blocked(7_000)).isEmpty();
            crashOf("i", 9_000, 9_050);
            assertThat(detector.blocked(11_000)).containsExactly(CULPRIT);
        }

        // A host sends the request to the next server as soon as one has crashed.
        @Test
        void count_each_if_the_request_was_sent_to_one_after_the_other() {
            crashOf("a", 1_000, 1_010);
            crashOf("b", 1_012, 1_030);
            crashOf("c", 1_031, 1_050);
            assertThat(detector.blocked(3_000)).containsExactly(CULPRIT);
        }
    }

    @Nested
    final class TwoRequests {
        @Test
        void on_all_the_same_servers_are_not_blocked_before_the_fifth_crash() {
            List.of("a", "b", "c", "d").forEach(server -> crash(server, 0, CULPRIT, BYSTANDER));
            assertThat(detector.blocked(1_000)).isEmpty();
            crash("e", 2_000, CULPRIT, BYSTANDER);
            assertThat(detector.blocked(3_000)).containsExactly(CULPRIT, BYSTANDER);
        }
    }

    @Nested
    final class ABusyServersEnd {
        // Reports held the first twelve suspects in the order of insertion, whatever was known of them.
        @Test
        void does_not_hide_the_request_with_the_most_crashes_from_reports() {
            crash("a", 0, CULPRIT);
            long[] bystanders =
                    IntStream.range(100, 300).mapToLong(index -> index).toArray();
            crash("b", 1_000, bystanders);
            crash("b2", 1_000, CULPRIT);
            assertThat(detector.crashes(2_000, 12).stream()
                            .filter(crash -> crash.request() == CULPRIT)
                            .count())
                    .isEqualTo(2);
        }

        @Test
        void drops_the_suspects_with_the_fewest_crashes_first() {
            crash("a", 0, CULPRIT);
            crash("b", 0, CULPRIT);
            IntStream.range(0, 20)
                    .forEach(server -> crash(
                            "s" + server,
                            1_000 + server,
                            IntStream.range(0, 200)
                                    .mapToLong(index -> 1_000L * (server + 1) + index)
                                    .toArray()));
            crash("c", 3_000, CULPRIT);
            assertThat(detector.isBlocked(CULPRIT, 4_000)).isTrue();
        }
    }
}
