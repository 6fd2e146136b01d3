package io.heatherloft.domain;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.admission.FairQueue;
import io.heatherloft.domain.cascade.CascadePlanner;
import io.heatherloft.domain.configuration.Cascade;
import io.heatherloft.domain.configuration.Model;
import io.heatherloft.domain.ledger.Bill;
import io.heatherloft.domain.ledger.ClaimToken;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.LedgerReply;
import io.heatherloft.domain.ledger.LedgerShard;
import io.heatherloft.domain.ledger.RecordedAnswer;
import io.heatherloft.domain.ledger.RequestKey;
import io.heatherloft.domain.ledger.Retention;
import io.heatherloft.domain.ledger.WorkspaceTotals;
import io.heatherloft.domain.rollout.QualityRegressionDetector;
import io.heatherloft.domain.routing.BackendServer;
import io.heatherloft.domain.routing.Placement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Each decision beside a naive version that is easy to see to be right, on seeded random input. */
final class DecisionsAgainstReferenceTest {
    private static final int ROUNDS = 2_000;

    @Nested
    final class Ledger {
        @Test
        void bills_each_request_as_often_as_a_set_of_seen_ids_does() {
            Random random = new Random(1);
            LedgerShard shard = new LedgerShard(Retention.DEFAULT);
            Set<String> seen = new HashSet<>();
            long naiveMicros = 0;
            for (int round = 0; round < ROUNDS; round++) {
                String id = "id-" + random.nextInt(300);
                LedgerRecord.Settlement settlement = new LedgerRecord.Settlement(
                        new RequestKey("club", RequestKey.Kind.IDEMPOTENT, id),
                        Optional.empty(),
                        new Bill(List.of(new Bill.Line("small@1", "server", 1, 1, 7))),
                        Optional.empty(),
                        1_000);
                naiveMicros += seen.add(id) ? 7 : 0;
                if (shard.evaluate(settlement).isEmpty()) {
                    shard.apply(settlement);
                }
            }
            assertThat(shard.totals().get("club"))
                    .isEqualTo(new WorkspaceTotals(seen.size(), seen.size(), seen.size(), naiveMicros));
        }

        @Test
        void grants_each_claim_to_the_first_token_only() {
            Random random = new Random(2);
            LedgerShard shard = new LedgerShard(Retention.DEFAULT);
            Map<String, ClaimToken> naiveHolders = new HashMap<>();
            for (int round = 0; round < ROUNDS; round++) {
                String id = "id-" + random.nextInt(200);
                ClaimToken token = new ClaimToken("host", random.nextInt(5));
                LedgerRecord.Claim claim = new LedgerRecord.Claim(
                        new RequestKey("club", RequestKey.Kind.AT_MOST_ONCE, id), token, 1, 1_000);
                boolean naiveGrant =
                        naiveHolders.computeIfAbsent(id, _id -> token).equals(token);
                LedgerReply reply = shard.evaluate(claim).orElseGet(() -> shard.apply(claim));
                assertThat(reply instanceof LedgerReply.Granted).isEqualTo(naiveGrant);
            }
        }

        @Test
        void returns_the_recorded_answer_to_every_later_claim() {
            LedgerShard shard = new LedgerShard(Retention.DEFAULT);
            RequestKey key = new RequestKey("club", RequestKey.Kind.AT_MOST_ONCE, "id");
            ClaimToken token = new ClaimToken("host", 1);
            RecordedAnswer answer = RecordedAnswer.of(201, "text/plain", Bytes.ofText("done"));
            shard.apply(new LedgerRecord.Claim(key, token, 1, 1_000));
            shard.apply(new LedgerRecord.Settlement(
                    key, Optional.of(token), new Bill(List.of()), Optional.of(answer), 1_100));
            assertThat(shard.evaluate(new LedgerRecord.Claim(key, new ClaimToken("other", 2), 1, 1_200)))
                    .hasValue(new LedgerReply.AlreadyAnswered(answer));
            assertThat(shard.evaluate(new LedgerRecord.Claim(key, new ClaimToken("other", 2), 9, 1_200)))
                    .hasValue(new LedgerReply.Mismatch());
        }
    }

    @Nested
    final class Queue {
        @Test
        void shares_by_weight_like_a_lottery_over_many_turns() {
            FairQueue<String> queue = new FairQueue<>(10_000);
            for (int index = 0; index < 2_000; index++) {
                queue.offer("large", 3, 10_000, 0, "large");
                queue.offer("small", 1, 10_000, 0, "small");
            }
            Random random = new Random(3);
            int lottery = 0;
            int taken = 0;
            for (int turn = 0; turn < ROUNDS; turn++) {
                lottery += random.nextInt(4) < 3 ? 1 : 0;
                taken += queue.poll(_item -> true).orElseThrow().equals("large") ? 1 : 0;
            }
            assertThat(taken).isEqualTo(1_500);
            assertThat(Math.abs(taken - lottery)).isLessThan(100);
        }

        @Test
        void never_starves_a_small_workspace_behind_a_large_backlog() {
            FairQueue<String> queue = new FairQueue<>(10_000);
            for (int index = 0; index < 5_000; index++) {
                queue.offer("flood", 1, 10_000, 0, "flood");
            }
            queue.offer("small", 1, 10, 0, "small");
            List<String> first = List.of(
                    queue.poll(_item -> true).orElseThrow(),
                    queue.poll(_item -> true).orElseThrow());
            assertThat(first).contains("small");
        }
    }

    @Nested
    final class Placements {
        @Test
        void never_chooses_a_server_with_more_load_than_the_minimum_plus_the_bonus() {
            Random random = new Random(4);
            for (int round = 0; round < ROUNDS; round++) {
                List<Placement.Candidate> candidates = new ArrayList<>();
                IntStream.range(0, 1 + random.nextInt(20))
                        .forEach(index -> candidates.add(new Placement.Candidate(
                                new BackendServer("s" + index, "pool", "zone", false),
                                random.nextLong(),
                                random.nextInt(6),
                                5,
                                0)));
                Optional<Placement.Candidate> chosen = Placement.choose(candidates, random.nextLong(), true);
                Optional<Integer> naiveLeast = candidates.stream()
                        .map(Placement.Candidate::outstanding)
                        .filter(outstanding -> outstanding < 5)
                        .min(Integer::compare);
                assertThat(chosen.isPresent()).isEqualTo(naiveLeast.isPresent());
                chosen.ifPresent(
                        candidate -> assertThat(candidate.outstanding()).isAtMost(naiveLeast.orElseThrow() + 1));
            }
        }
    }

    @Nested
    final class Cascades {
        @Test
        void costs_less_than_the_strong_model_alone_and_meets_the_target_where_cheap_answers_often_suffice() {
            Random random = new Random(5);
            CascadePlanner planner = new CascadePlanner(new Random(6));
            CascadePlanner.PlanKey key = new CascadePlanner.PlanKey("club", "question");
            Cascade cascade = new Cascade("c", List.of("cheap", "strong"), 0.8, 60_000, 1);
            List<CascadePlanner.StepCost> costs = List.of(
                    new CascadePlanner.StepCost("cheap", new Model.TokenPrice(1, 1)),
                    new CascadePlanner.StepCost("strong", new Model.TokenPrice(9, 9)));
            double quality = 0;
            long micros = 0;
            for (int round = 0; round < ROUNDS; round++) {
                CascadePlanner.Plan plan = planner.plan(key, cascade, costs);
                double cheap = 0.6 + 0.4 * random.nextDouble();
                boolean escalates =
                        plan.firstStep() == 1 || cheap < plan.acceptAtLeast().orElse(0);
                planner.recordRating(key, 0, cheap);
                planner.recordAnswer(key, 0, 10, 100);
                if (escalates) {
                    planner.recordRating(key, 1, 0.95);
                    planner.recordAnswer(key, 1, 100, 400);
                }
                micros += (plan.firstStep() == 0 ? 10 : 0) + (escalates ? 100 : 0);
                quality += escalates ? 0.95 : cheap;
            }
            assertThat(quality / ROUNDS).isAtLeast(0.8);
            assertThat(micros).isLessThan(ROUNDS * 100L * 6 / 10);
        }
    }

    @Nested
    final class QualityRegression {
        @Test
        void detects_a_drop_in_quality_and_raises_no_alarm_for_a_steady_version() {
            Random random = new Random(7);
            QualityRegressionDetector steady = new QualityRegressionDetector();
            QualityRegressionDetector falling = new QualityRegressionDetector();
            for (int round = 0; round < 100; round++) {
                double reference = 0.85 + 0.1 * random.nextGaussian();
                steady.addReference(reference);
                falling.addReference(reference);
            }
            int noticedAfter = 0;
            for (int round = 0; round < ROUNDS; round++) {
                double score = 0.85 + 0.1 * random.nextGaussian();
                assertThat(steady.add(score)).isFalse();
                noticedAfter += falling.add(score - 0.2) ? 0 : 1;
            }
            assertThat(noticedAfter).isLessThan(60);
        }
    }
}
