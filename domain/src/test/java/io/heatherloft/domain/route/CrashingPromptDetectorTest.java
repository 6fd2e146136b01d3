package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.route.CrashingPromptDetector.CrashedServer;
import io.heatherloft.domain.route.CrashingPromptDetector.Prompt;
import io.heatherloft.domain.route.CrashingPromptDetector.Response;
import io.heatherloft.domain.route.CrashingPromptDetector.SoundPart;
import io.heatherloft.domain.route.CrashingPromptDetector.Suspicion;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CrashingPromptDetectorTest {
    private static final long FIRST_PART = 1;
    private static final long OTHER_FIRST_PART = 2;
    private static final long CRASHING_PART = 10;
    private static final long OTHER_PART = 20;
    private static final long MINUTE_MILLIS = 60_000;

    private static final int SERVERS = 20;

    private final CrashingPromptDetector detector = newDetector();
    private long requests = 1_000;

    // Each server has an address of its own.
    private static CrashingPromptDetector newDetector() {
        return new CrashingPromptDetector(new CrashingPromptDetector.Servers() {
            @Override
            public long addressOf(long server) {
                return server;
            }

            @Override
            public int addressCount() {
                return SERVERS;
            }
        });
    }

    private Prompt prompt(long... parts) {
        requests++;
        return new Prompt(LongStream.of(parts).boxed().toList(), requests);
    }

    private Response begin(long server, Prompt prompt, long startMillis) {
        Response response = detector.recordSend(server, prompt);
        detector.recordResponseStart(response, startMillis);
        return response;
    }

    // A response begins, and its server crashes 60 ms later.
    private void crash(long server, long startMillis, long... parts) {
        Response _response = begin(server, prompt(parts), startMillis);
        assertThat(detector.recordInterruption(server, startMillis + 60)).isTrue();
        Suspicion _suspicion = detector.recordCrash(server, startMillis + 70);
    }

    private void threeCrashes(long startMillis) {
        LongStream.range(0, 3)
                .forEach(index -> crash(100 + index, startMillis + index * 100, FIRST_PART, CRASHING_PART));
    }

    private void soundResponse(long startMillis, long... parts) {
        Response _response = begin(99, prompt(parts), startMillis);
        Response _later = begin(99, prompt(), startMillis + 3_000);
    }

    private boolean isBlocked(long nowMillis, long... parts) {
        return detector.isBlocked(prompt(parts), nowMillis);
    }

    @Nested
    final class APart {
        @Test
        void is_blocked_after_crashes_of_three_servers_under_different_requests() {
            soundResponse(0, FIRST_PART);
            crash(101, 4_000, FIRST_PART, CRASHING_PART);
            crash(102, 4_100, FIRST_PART, CRASHING_PART);
            assertThat(isBlocked(4_200, FIRST_PART, CRASHING_PART)).isFalse();
            crash(103, 4_200, FIRST_PART, CRASHING_PART);
            assertThat(isBlocked(4_300, OTHER_FIRST_PART, CRASHING_PART)).isTrue();
            assertThat(isBlocked(4_300, FIRST_PART, OTHER_PART)).isFalse();
        }

        @Test
        void is_not_blocked_for_crashes_under_one_request() {
            Prompt repeated = prompt(CRASHING_PART);
            LongStream.range(101, 105).forEach(server -> {
                Response _response = begin(server, repeated, server);
                Suspicion _suspicion = detector.recordCrash(server, server + 50);
            });
            assertThat(isBlocked(1_000, CRASHING_PART)).isFalse();
        }

        // Requests that come slowly: the first two of them, sent again and again, crash five servers.
        @Test
        void is_blocked_after_crashes_of_five_servers_under_two_requests() {
            soundResponse(0, FIRST_PART);
            List<Prompt> requestsInOrder =
                    List.of(prompt(FIRST_PART, CRASHING_PART), prompt(FIRST_PART, CRASHING_PART));
            LongStream.range(0, 5).forEach(index -> {
                assertThat(isBlocked(4_000 + index * 300, CRASHING_PART)).isFalse();
                Response _response = begin(100 + index, requestsInOrder.get(index < 3 ? 0 : 1), 4_000 + index * 300);
                Suspicion _suspicion = detector.recordCrash(100 + index, 4_050 + index * 300);
            });
            assertThat(isBlocked(6_000, CRASHING_PART)).isTrue();
        }

        @Test
        void is_tried_again_after_the_quarantine_and_blocked_by_one_more_crash() {
            soundResponse(0, FIRST_PART);
            threeCrashes(4_000);
            long afterQuarantine = 5_000 + CrashingPromptDetector.QUARANTINE_MILLIS;
            assertThat(isBlocked(4 * MINUTE_MILLIS, CRASHING_PART)).isTrue();
            assertThat(isBlocked(afterQuarantine, CRASHING_PART)).isFalse();
            crash(110, afterQuarantine, FIRST_PART, CRASHING_PART);
            assertThat(isBlocked(afterQuarantine + 1_000, CRASHING_PART)).isTrue();
        }

        @Test
        void is_released_by_a_server_that_outlives_the_beginning_of_a_response() {
            soundResponse(0, FIRST_PART);
            threeCrashes(4_000);
            soundResponse(4_400, OTHER_FIRST_PART, CRASHING_PART);
            assertThat(isBlocked(8_000, CRASHING_PART)).isFalse();
        }

        // A report of soundness that arrives late clears only the crashes before it and soon after it.
        @Test
        void is_released_when_too_few_crashes_remain_after_a_late_report_that_it_was_sound() {
            crash(101, 19_000, CRASHING_PART);
            crash(102, 19_100, CRASHING_PART);
            crash(103, 21_000, CRASHING_PART);
            assertThat(isBlocked(21_200, CRASHING_PART)).isTrue();
            detector.mergeSoundPart(new SoundPart(CRASHING_PART, 5_000), 21_200);
            assertThat(isBlocked(21_300, CRASHING_PART)).isFalse();
        }

        @Test
        void is_not_suspected_of_crashes_soon_after_it_was_sound() {
            soundResponse(0, FIRST_PART, CRASHING_PART);
            threeCrashes(4_000);
            assertThat(isBlocked(5_000, FIRST_PART, CRASHING_PART)).isFalse();
        }

        @Test
        void is_suspected_though_a_short_response_was_complete_before_the_crash() {
            soundResponse(0, FIRST_PART);
            LongStream.range(0, 3).forEach(index -> {
                Response _response = begin(100 + index, prompt(FIRST_PART, CRASHING_PART), 4_000 + index * 100);
                detector.mergeCrashedServer(new CrashedServer(100 + index, 4_060 + index * 100), 4_500);
            });
            assertThat(isBlocked(5_000, CRASHING_PART)).isTrue();
        }

        @Test
        void is_not_suspected_if_the_response_was_abandoned() {
            LongStream.range(0, 3).forEach(index -> {
                Response response = begin(100 + index, prompt(CRASHING_PART), 4_000);
                response.abandon();
                Suspicion _suspicion = detector.recordCrash(100 + index, 4_050);
            });
            assertThat(isBlocked(5_000, CRASHING_PART)).isFalse();
        }
    }

    /** Guards against review case 3 (BUDGET): servers that crashed before the head of a response accused no part. */
    @Nested
    final class AServerThatHasNotBegunToRespond {
        // All runs on the server are interrupted 5 ms before it is found to be down.
        private void crashAwaited(long server, long millis, List<Prompt> running) {
            List<Response> awaited = running.stream()
                    .map(prompt -> detector.recordSend(server, prompt))
                    .toList();
            awaited.forEach(response -> assertThat(detector.recordInterruption(response, millis - 5))
                    .isTrue());
            Suspicion _suspicion = detector.recordCrash(server, millis);
        }

        @Test
        void accuses_parts_that_are_blocked_after_four_such_crashes_under_different_requests() {
            soundResponse(0, FIRST_PART);
            LongStream.range(0, 4).forEach(index -> {
                assertThat(isBlocked(4_000 + index * 500, CRASHING_PART)).isFalse();
                crashAwaited(
                        100 + index,
                        4_000 + index * 500,
                        List.of(prompt(FIRST_PART, CRASHING_PART), prompt(FIRST_PART, OTHER_PART + index)));
            });
            assertThat(isBlocked(6_000, FIRST_PART, CRASHING_PART)).isTrue();
            assertThat(isBlocked(6_000, FIRST_PART, OTHER_PART)).isFalse();
        }

        // Requests that come slowly: two of them, sent again and again, crash five servers.
        @Test
        void accuses_parts_that_are_blocked_after_five_such_crashes_under_two_requests() {
            List<Prompt> requestsInOrder = List.of(prompt(CRASHING_PART), prompt(CRASHING_PART));
            LongStream.range(0, 5).forEach(index -> {
                assertThat(isBlocked(4_000 + index * 500, CRASHING_PART)).isFalse();
                crashAwaited(100 + index, 4_000 + index * 500, List.of(requestsInOrder.get(index < 3 ? 0 : 1)));
            });
            assertThat(isBlocked(7_000, CRASHING_PART)).isTrue();
        }

        @Test
        void accuses_like_one_that_has_begun_if_a_byte_of_the_head_has_arrived() {
            LongStream.range(0, 3).forEach(index -> {
                Response response = detector.recordSend(100 + index, prompt(CRASHING_PART));
                detector.recordFirstByte(response, 4_000 + index * 200);
                assertThat(detector.recordInterruption(response, 4_005 + index * 200))
                        .isTrue();
                Suspicion suspicion = detector.recordCrash(100 + index, 4_010 + index * 200);
                assertThat(suspicion.begun()).isEqualTo(1);
                assertThat(suspicion.accusedParts()).containsExactly(CRASHING_PART);
            });
            assertThat(isBlocked(5_000, CRASHING_PART)).isTrue();
        }

        @Test
        void accuses_no_part_that_is_known_to_be_sound() {
            soundResponse(0, FIRST_PART);
            LongStream.range(0, 8)
                    .forEach(index -> crashAwaited(100 + index, 4_000 + index * 500, List.of(prompt(FIRST_PART))));
            assertThat(isBlocked(9_000, FIRST_PART)).isFalse();
            assertThat(detector.crashes(10)).isEmpty();
        }

        // A loss of power, while nothing is known of the part that all requests share.
        @Test
        void accuses_no_part_if_many_servers_crash_at_the_same_moment() {
            LongStream.range(0, 30)
                    .forEach(index -> crashAwaited(
                            100 + index, 4_000 + index * 5, List.of(prompt(FIRST_PART), prompt(FIRST_PART))));
            assertThat(isBlocked(5_000, FIRST_PART)).isFalse();
        }

        // The same for servers that had begun to respond.
        @Test
        void accuses_no_part_if_many_that_had_begun_crash_at_the_same_moment() {
            LongStream.range(0, 30).forEach(index -> crash(100 + index, 4_000 + index * 3, FIRST_PART));
            assertThat(isBlocked(5_000, FIRST_PART)).isFalse();
        }

        @Test
        void accuses_no_part_to_which_another_server_has_begun_to_respond() {
            LongStream.range(0, 8).forEach(index -> {
                if (index % 3 == 0) {
                    Response _response = begin(99, prompt(OTHER_PART), 4_000 + index * 4_000);
                }
                crashAwaited(100 + index, 5_000 + index * 4_000, List.of(prompt(OTHER_PART)));
            });
            assertThat(isBlocked(40_000, OTHER_PART)).isFalse();
        }

        @Test
        void accuses_no_part_to_which_a_server_of_another_host_has_begun_to_respond() {
            LongStream.range(0, 5)
                    .forEach(index -> crashAwaited(100 + index, 5_000 + index * 500, List.of(prompt(OTHER_PART))));
            assertThat(isBlocked(8_000, OTHER_PART)).isTrue();
            detector.mergeBegunPart(new SoundPart(OTHER_PART, 4_000), 8_100);
            assertThat(isBlocked(8_200, OTHER_PART)).isFalse();
            assertThat(detector.begunSuspects(10)).containsExactly(new SoundPart(OTHER_PART, 4_000));
        }

        @Test
        void accuses_no_part_of_a_request_that_ended_before() {
            LongStream.range(0, 6).forEach(index -> {
                Response response = detector.recordSend(100 + index, prompt(CRASHING_PART));
                assertThat(detector.endAwaited(response)).isTrue();
                Suspicion suspicion = detector.recordCrash(100 + index, 4_000 + index * 500);
                assertThat(suspicion.responses()).isEqualTo(0);
            });
            assertThat(isBlocked(8_000, CRASHING_PART)).isFalse();
        }

        // A part that shares some crashes by chance is explained by the one that was there each time.
        @Test
        void blocks_the_part_of_the_most_crashes_only() {
            LongStream.range(0, 6).forEach(index -> {
                List<Prompt> running = new ArrayList<>(List.of(prompt(CRASHING_PART)));
                if (index < 4) {
                    running.add(prompt(OTHER_PART));
                }
                crashAwaited(100 + index, 4_000 + index * 500, running);
            });
            assertThat(isBlocked(8_000, CRASHING_PART)).isTrue();
            assertThat(isBlocked(8_000, OTHER_PART)).isFalse();
        }

        @Test
        void is_known_to_hosts_that_learn_later_that_it_had_begun() {
            Prompt prompt = prompt(CRASHING_PART);
            crashAwaited(100, 4_000, List.of(prompt));
            long before = detector.fingerprint(4_100);
            detector.mergeCrash(new CrashingPromptDetector.Crash(CRASHING_PART, 100, prompt.request(), 4_000), 4_200);
            assertThat(detector.crashes(10)).hasSize(1);
            assertThat(detector.crashes(10).get(0).begun()).isTrue();
            assertThat(detector.fingerprint(4_300)).isNotEqualTo(before);
        }
    }

    @Nested
    final class SeveralParts {
        @Test
        void of_the_same_crashes_are_blocked_only_together() {
            threeCrashes(0);
            assertThat(isBlocked(1_000, FIRST_PART, CRASHING_PART)).isTrue();
            assertThat(isBlocked(1_000, FIRST_PART, OTHER_PART)).isFalse();
            crash(105, 1_000, OTHER_FIRST_PART, CRASHING_PART);
            crash(106, 1_100, OTHER_FIRST_PART, CRASHING_PART);
            crash(107, 1_200, OTHER_FIRST_PART, CRASHING_PART);
            assertThat(isBlocked(1_300, 3, CRASHING_PART)).isTrue();
            assertThat(isBlocked(1_300, FIRST_PART, OTHER_PART)).isFalse();
        }

        @Test
        void are_not_blocked_alone_if_they_are_also_part_of_a_response_that_ended_just_before_a_crash() {
            Response _response = begin(100, prompt(FIRST_PART, OTHER_PART), 3_950);
            threeCrashes(4_000);
            assertThat(isBlocked(5_000, FIRST_PART, CRASHING_PART)).isTrue();
            assertThat(isBlocked(5_000, FIRST_PART, OTHER_PART)).isFalse();
        }

        @Test
        void of_concurrent_responses_are_not_blocked_for_crashes_that_another_part_explains() {
            LongStream.range(0, 4).forEach(index -> {
                if (index < 3) {
                    Response _response = begin(100 + index, prompt(OTHER_PART), 3_900 + index * 100);
                }
                crash(100 + index, 4_000 + index * 100, CRASHING_PART);
            });
            assertThat(isBlocked(5_000, CRASHING_PART)).isTrue();
            assertThat(isBlocked(5_000, OTHER_PART)).isFalse();
        }
    }

    /** Guards against review case 8 (BUDGET): crashes elsewhere released a part, or kept it from being blocked. */
    @Nested
    final class CrashesOfOtherServers {
        private void crashesElsewhere(int count, long startMillis, long periodMillis) {
            LongStream.range(0, count)
                    .forEach(index -> detector.mergeCrashedServer(
                            new CrashedServer(1_000 + index, startMillis + index * periodMillis),
                            startMillis + index * periodMillis));
        }

        @Test
        void do_not_release_a_part_that_is_blocked() {
            soundResponse(0, FIRST_PART);
            threeCrashes(4_000);
            assertThat(isBlocked(5_000, CRASHING_PART)).isTrue();
            crashesElsewhere(60, 5_100, 200);
            crash(110, 18_000, FIRST_PART, CRASHING_PART);
            assertThat(isBlocked(19_000, CRASHING_PART)).isTrue();
        }

        // Accusations of many other parts must not drop the records of one that is blocked and so never runs.
        @Test
        void do_not_drop_the_records_of_a_part_that_is_blocked() {
            threeCrashes(4_000);
            LongStream.range(0, 400).forEach(index -> crash(2_000 + index, 6_000 + index * 200, 5_000 + index));
            assertThat(isBlocked(90_000, FIRST_PART, CRASHING_PART)).isTrue();
        }
    }

    @Nested
    final class AServer {
        @Test
        void that_leaves_without_an_interruption_accuses_no_part() {
            LongStream.range(0, 3).forEach(index -> {
                Response _response = begin(100 + index, prompt(CRASHING_PART), 0);
                assertThat(detector.recordLeave(100 + index, 100).responses()).isEqualTo(0);
            });
            assertThat(isBlocked(1_000, CRASHING_PART)).isFalse();
        }

        @Test
        void that_interrupts_responses_and_stays_up_accuses_no_part() {
            LongStream.range(0, 3).forEach(index -> {
                Response _response = begin(100 + index, prompt(CRASHING_PART), 0);
                assertThat(detector.recordInterruption(100 + index, 50)).isTrue();
            });
            assertThat(isBlocked(1_000, CRASHING_PART)).isFalse();
            assertThat(detector.fingerprint(1_000)).isEqualTo(0);
        }
    }

    @Nested
    final class Hosts {
        @Test
        void with_the_same_records_block_the_same_parts_in_whichever_order_they_received_them() {
            CrashingPromptDetector other = newDetector();
            soundResponse(0, FIRST_PART);
            threeCrashes(4_000);
            List<CrashingPromptDetector.Crash> crashes = detector.crashes(64);
            LongStream.range(0, crashes.size())
                    .forEach(index -> other.mergeCrash(crashes.get((int) (crashes.size() - 1 - index)), 5_000));
            detector.soundSuspects(64).forEach(part -> other.mergeSoundPart(part, 5_000));
            assertThat(other.fingerprint(5_000)).isEqualTo(detector.fingerprint(5_000));
            assertThat(other.accusations(5_000)).isEqualTo(detector.accusations(5_000));
            assertThat(other.accusations(5_000)).hasSize(1);
        }
    }
}
