package io.heatherloft.domain.cascade;

import io.heatherloft.domain.configuration.Cascade;
import io.heatherloft.domain.configuration.Model;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;

/**
 * Decides how a request class climbs its cascade: straight to one model, or a cheaper model first whose answer is rated
 * and, if it is poor, replaced by the next model's.
 *
 * <p>The cheapest plan wins among those whose quality, learned from ratings, meets the target with confidence (the lower
 * bound, not the mean) and whose expected time fits the deadline. Invariants: without enough ratings the first model's
 * answer is always rated and accepted only at the target; if no plan is good enough the last model answers. Confined to
 * one thread.
 */
public final class CascadePlanner {
    private static final double CONFIDENCE_Z_SCORE = 1.64;
    private static final double MIN_RATINGS = 30;
    private static final double EXPLORATION_SHARE = 0.02;
    private static final double SAMPLED_SHARE = 0.05;
    private static final double RATING_COST_MICROS = 5.0;
    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double DEADLINE_SHARE = 0.8;
    private static final double LOWEST_THRESHOLD_OFFSET = -0.3;
    private static final double HIGHEST_THRESHOLD_OFFSET = 0.05;
    private static final double THRESHOLD_STEP = 0.02;
    private static final int MAX_KEYS = 10_000;

    private final Random random;
    private final Map<PlanKey, List<StepStatistics>> statistics = new HashMap<>();

    /** Creates a planner that has learned nothing; the random generator decides what is explored and sampled. */
    public CascadePlanner(Random random) {
        this.random = random;
    }

    /** Returns the plan for a request. */
    public Plan plan(PlanKey key, Cascade cascade, List<StepCost> costs) {
        List<StepStatistics> steps = statisticsOf(key, costs.size());
        if (costs.size() <= 1) {
            return new Plan(0, OptionalDouble.empty(), isSampled(steps, 0));
        }
        boolean ignorant = steps.get(0).scores.weight() < MIN_RATINGS;
        if (ignorant || random.nextDouble() < EXPLORATION_SHARE) {
            return new Plan(0, OptionalDouble.of(cascade.qualityTarget()), true);
        }
        Option best = options(cascade, costs, steps).stream()
                .min(Comparator.comparingDouble(Option::costMicros))
                .orElseGet(() -> new Option(costs.size() - 1, OptionalDouble.empty(), 0));
        return new Plan(best.firstStep(), best.acceptAtLeast(), isSampled(steps, best.firstStep()));
    }

    /** Records the rating of an answer of one step, from 0 to 1. */
    public void recordRating(PlanKey key, int step, double score) {
        statisticsOf(key, step + 1).get(step).scores.add(score);
    }

    /** Records what an answer of one step cost, in micros, and how long it took, in milliseconds. */
    public void recordAnswer(PlanKey key, int step, long costMicros, long durationMillis) {
        statisticsOf(key, step + 1).get(step).recordAnswer(costMicros, durationMillis);
    }

    private List<Option> options(Cascade cascade, List<StepCost> costs, List<StepStatistics> steps) {
        List<Option> options = new ArrayList<>();
        for (int step = 0; step < costs.size(); step++) {
            StepStatistics record = steps.get(step);
            double lowerBound = record.scores.mean() - CONFIDENCE_Z_SCORE * Math.sqrt(record.scores.varianceOfMean());
            if (record.scores.weight() >= MIN_RATINGS && lowerBound >= cascade.qualityTarget()) {
                options.add(new Option(step, OptionalDouble.empty(), record.costOr(costs.get(step))));
            }
            if (step + 1 < costs.size()) {
                for (double offset = LOWEST_THRESHOLD_OFFSET;
                        offset <= HIGHEST_THRESHOLD_OFFSET;
                        offset += THRESHOLD_STEP) {
                    escalationOption(cascade, costs, steps, step, cascade.qualityTarget() + offset)
                            .ifPresent(options::add);
                }
            }
        }
        return options;
    }

    private static Optional<Option> escalationOption(
            Cascade cascade, List<StepCost> costs, List<StepStatistics> steps, int step, double threshold) {
        StepStatistics first = steps.get(step);
        StepStatistics next = steps.get(step + 1);
        if (first.scores.weight() < MIN_RATINGS) {
            return Optional.empty();
        }
        double accepted = first.scores.fractionAtLeast(threshold);
        double nextQuality = next.scores.weight() >= MIN_RATINGS ? next.scores.mean() : cascade.qualityTarget();
        double quality = accepted * first.scores.meanAtLeast(threshold) + (1 - accepted) * nextQuality;
        double variance = accepted * accepted * first.scores.varianceOfMean()
                + (1 - accepted) * (1 - accepted) * next.scores.varianceOfMean();
        boolean goodEnough = quality - CONFIDENCE_Z_SCORE * Math.sqrt(variance) >= cascade.qualityTarget()
                || threshold >= cascade.qualityTarget();
        boolean fastEnough = first.durationMillis + next.durationMillis <= cascade.deadlineMillis() * DEADLINE_SHARE;
        double cost =
                first.costOr(costs.get(step)) + RATING_COST_MICROS + (1 - accepted) * next.costOr(costs.get(step + 1));
        return goodEnough && fastEnough
                ? Optional.of(new Option(step, OptionalDouble.of(threshold), cost))
                : Optional.empty();
    }

    private boolean isSampled(List<StepStatistics> steps, int step) {
        return steps.get(step).scores.weight() < MIN_RATINGS || random.nextDouble() < SAMPLED_SHARE;
    }

    private List<StepStatistics> statisticsOf(PlanKey key, int count) {
        if (statistics.size() >= MAX_KEYS && !statistics.containsKey(key)) {
            statistics.clear();
        }
        List<StepStatistics> steps = statistics.computeIfAbsent(key, _key -> new ArrayList<>());
        while (steps.size() < count) {
            steps.add(new StepStatistics());
        }
        return steps;
    }

    private record Option(int firstStep, OptionalDouble acceptAtLeast, double costMicros) {}

    private static final class StepStatistics {
        private static final double TYPICAL_THOUSANDS_OF_TOKENS = 0.5;

        private final ScoreDistribution scores = new ScoreDistribution();
        private double costMicros = -1;
        private double durationMillis;

        void recordAnswer(long cost, long duration) {
            costMicros = costMicros < 0 ? cost : costMicros + SMOOTHING_FACTOR * (cost - costMicros);
            durationMillis += SMOOTHING_FACTOR * (duration - durationMillis);
        }

        double costOr(StepCost declared) {
            return costMicros >= 0
                    ? costMicros
                    : declared.price().outputMicrosPerThousand() * TYPICAL_THOUSANDS_OF_TOKENS;
        }
    }

    /** What plans are learned for. */
    public record PlanKey(String workspace, String requestClass) {}

    /** What a step's tokens cost now. */
    public record StepCost(String model, Model.TokenPrice price) {}

    /**
     * How a request climbs its cascade.
     *
     * @param firstStep index of the first model tried
     * @param acceptAtLeast least rating with which an answer that could still be bettered is accepted; empty if the
     *     first answer is taken as it is
     * @param sampled true if the answer is to be rated for learning
     */
    public record Plan(int firstStep, OptionalDouble acceptAtLeast, boolean sampled) {}
}
