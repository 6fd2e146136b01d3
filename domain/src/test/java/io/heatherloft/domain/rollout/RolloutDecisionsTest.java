package io.heatherloft.domain.rollout;

import static com.google.common.truth.Truth.assertThat;

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

        // A day on which a version turns bad after two thirds of its roll-out: 55 requests a second for 20.5 s, seen
        // after
        // 1.5 s; a seventh of all requests and 30 more may have met it.
        @Test
        void exposes_few_requests_to_a_version_that_turns_bad_after_two_thirds() {
            long duration = 20_500;
            double perMilli = 0.055;
            double exposed = 0;
            for (long elapsed = 0; elapsed < 13_700 + 1_500; elapsed++) {
                exposed += perMilli * RolloutPlan.shareAt(elapsed, duration);
            }
            assertThat(exposed).isAtMost(0.15 * perMilli * duration + 30);
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
    final class Verdict {
        private VersionOutcomes draw(Random random, int answers, double badShare) {
            VersionOutcomes outcomes = VersionOutcomes.NONE;
            for (int answer = 0; answer < answers; answer++) {
                outcomes = outcomes.plusAnswer(random.nextDouble() < badShare);
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
                double usual = Math.exp(random.nextGaussian() * 0.5);
                sums = sums.plusAnswer(random.nextDouble() < slowShare ? 8 * usual : usual);
            }
            return sums;
        }

        @Test
        void of_a_version_that_slows_half_of_its_answers_eightfold_is_detected_within_forty() {
            int noticed = 0;
            for (int seed = 0; seed < 500; seed++) {
                Random random = new Random(seed);
                SpeedSums before = draw(random, 200, 0);
                noticed += draw(random, 40, 0.5).isSlowerThan(before) ? 1 : 0;
            }
            assertThat(noticed).isAtLeast(490);
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

        // A good roll-out whose hosts were all killed: 13 of 137 answers slow, none of the version before by then.
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
