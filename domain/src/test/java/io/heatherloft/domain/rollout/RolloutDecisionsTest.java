package io.heatherloft.domain.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RolloutDecisionsTest {
    private static final long DURATION = 16_000;

    @Nested
    final class Schedule {
        @Test
        void never_lowers_the_share_and_ends_with_all_sessions() {
            double before = 0;
            for (long elapsed = 0; elapsed <= DURATION; elapsed += 10) {
                double share = RolloutPlan.shareAt(elapsed, DURATION);
                assertThat(share).isAtLeast(before);
                before = share;
            }
            assertThat(before).isEqualTo(1.0);
        }

        @Test
        void moves_no_session_in_the_first_half_and_exposes_few_requests_in_it() {
            for (long elapsed = 0; elapsed < DURATION / 2; elapsed += 10) {
                assertThat(RolloutPlan.mayMoveSessions(elapsed, DURATION)).isFalse();
                assertThat(RolloutPlan.shareAt(elapsed, DURATION)).isAtMost(0.0975);
            }
        }

        // A version turns bad after two thirds of its rollout, which lasts 20.5 s at 55 requests per second, and is
        // detected 1.5 s later. It may be exposed to a seventh of all requests, taken as 0.15, plus 30.
        @Test
        void exposes_few_requests_to_a_version_that_turns_bad_after_two_thirds() {
            long duration = 20_500;
            double requestsPerMilli = 0.055;
            double exposed = 0;
            for (long elapsed = 0; elapsed < 13_700 + 1_500; elapsed++) {
                exposed += requestsPerMilli * RolloutPlan.shareAt(elapsed, duration);
            }
            assertThat(exposed).isAtMost(0.15 * requestsPerMilli * duration + 30);
        }

        @Test
        void leaves_time_for_the_last_answers_of_the_version_before() {
            long all = 0;
            while (RolloutPlan.shareAt(all, DURATION) < 1) {
                all += 10;
            }
            assertThat(RolloutPlan.isCompletionDue(all, DURATION)).isFalse();
            assertThat(RolloutPlan.isCompletionDue(DURATION, DURATION)).isTrue();
        }
    }

    @Nested
    final class Retained {
        private RetainedSessions of(List<Long> hashes) {
            RetainedSessions sessions = new RetainedSessions();
            sessions.addAll(hashes);
            return sessions;
        }

        @Test
        void sessions_are_the_same_on_all_hosts_whatever_the_order_in_which_they_learn_of_them() {
            Random random = new Random(5);
            for (int count : new int[] {1, 127, 128, 129, 500}) {
                List<Long> hashes = random.longs(count).boxed().toList();
                List<Long> shuffled = new ArrayList<>(hashes);
                Collections.shuffle(shuffled, random);
                RetainedSessions merged = of(shuffled.subList(0, count / 2));
                merged.addAll(of(shuffled.subList(count / 3, count)).hashes());
                assertThat(merged.hashes()).isEqualTo(of(hashes).hashes());
            }
        }

        @Test
        void sessions_that_are_too_many_to_hold_stay_on_the_previous_version() {
            List<Long> hashes = new Random(6).longs(2_000).boxed().toList();
            RetainedSessions sessions = of(hashes);
            assertThat(sessions.hashes()).hasSize(RetainedSessions.CAPACITY);
            hashes.forEach(hash -> assertThat(sessions.contains(hash)).isTrue());
            assertThat(sessions.contains(0L)).isFalse();
        }
    }

    @Nested
    final class Verdict {
        private VersionOutcomes draw(Random random, int answers, double failureRate) {
            VersionOutcomes outcomes = VersionOutcomes.NONE;
            for (int answer = 0; answer < answers; answer++) {
                outcomes = outcomes.plusAnswer(random.nextDouble() < failureRate);
            }
            return outcomes;
        }

        @Test
        void on_a_version_that_fails_half_of_its_requests_comes_within_twenty_five_answers() {
            int judged = 0;
            for (int seed = 0; seed < 1_000; seed++) {
                Random random = new Random(seed);
                VersionOutcomes before = draw(random, 150, 0.01);
                judged += draw(random, 25, 0.5).isWorseThan(before) ? 1 : 0;
            }
            assertThat(judged).isAtLeast(995);
        }

        @Test
        void on_a_sound_version_is_rare_when_asked_after_each_answer() {
            int wrong = 0;
            for (int seed = 0; seed < 500; seed++) {
                Random random = new Random(seed);
                VersionOutcomes before = draw(random, 300, 0.02);
                VersionOutcomes target = VersionOutcomes.NONE;
                boolean bad = false;
                for (int answer = 0; answer < 300 && !bad; answer++) {
                    target = target.plusAnswer(random.nextDouble() < 0.02);
                    bad = target.isWorseThan(before);
                }
                wrong += bad ? 1 : 0;
            }
            assertThat(wrong).isAtMost(5);
        }
    }

    @Nested
    final class Speed {
        private SpeedSums draw(Random random, int answers, double slowShare) {
            SpeedSums sums = SpeedSums.NONE;
            for (int answer = 0; answer < answers; answer++) {
                double baseline = Math.exp(random.nextGaussian() * 0.5);
                sums = sums.plusAnswer(random.nextDouble() < slowShare ? 8 * baseline : baseline);
            }
            return sums;
        }

        @Test
        void of_a_version_that_slows_half_of_its_answers_eightfold_is_detected_within_forty() {
            int detected = 0;
            for (int seed = 0; seed < 500; seed++) {
                Random random = new Random(seed);
                SpeedSums before = draw(random, 200, 0);
                detected += draw(random, 40, 0.5).isSlowerThan(before) ? 1 : 0;
            }
            assertThat(detected).isAtLeast(490);
        }

        @Test
        void of_a_sound_version_is_not_judged_slow_when_tested_after_each_answer() {
            int wrong = 0;
            for (int seed = 0; seed < 300; seed++) {
                Random random = new Random(seed);
                SpeedSums before = draw(random, 300, 0);
                SpeedSums target = SpeedSums.NONE;
                boolean slow = false;
                for (int answer = 0; answer < 200; answer++) {
                    target = target.plus(draw(random, 1, 0));
                    slow |= target.isSlowerThan(before);
                }
                wrong += slow ? 1 : 0;
            }
            assertThat(wrong).isEqualTo(0);
        }

        // When all hosts were killed during a sound rollout, 13 of 137 answers of the new version were slow,
        // and none of the previous version's by then.
        @Test
        void of_a_sound_version_is_not_judged_slow_by_one_slow_answer_in_ten() {
            Random random = new Random(4);
            assertThat(draw(random, 137, 0.1).isSlowerThan(draw(random, 600, 0)))
                    .isFalse();
        }

        @Test
        void of_a_kind_with_too_few_answers_is_not_judged() {
            LatencyBaseline baseline = new LatencyBaseline();
            baseline.record("plans/large", 10);
            assertThat(baseline.ratioToBaseline("plans/large", 10_000).isPresent())
                    .isFalse();
        }
    }
}
