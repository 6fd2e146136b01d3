package io.heatherloft.bench.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.heatherloft.domain.cascade.CascadePlanner;
import io.heatherloft.domain.cascade.CascadePlanner.Plan;
import io.heatherloft.domain.configuration.Cascade;
import io.heatherloft.domain.configuration.Model;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.Function;

/**
 * Cost and quality of the real planner and of naive ones, for the request classes of both users.
 *
 * <p>A request has a difficulty; a model's answer is rated as its skill less what the difficulty takes, with noise. A
 * rating costs what the planner assumes. Confined to one thread.
 */
final class CascadeExperiment {
    private static final long SEED = 20_261_204L;
    private static final double RATING_MICROS = 5;
    private static final double NOISE = 0.06;

    private CascadeExperiment() {}

    static JsonNode run(int requests) {
        ArrayNode figures = new ObjectMapper().createArrayNode();
        for (RequestClass requestClass : RequestClass.ALL) {
            measure(figures, requestClass, "always strong", requests, _random -> strong());
            measure(figures, requestClass, "always cheap", requests, _random -> cheap());
            measure(figures, requestClass, "fixed threshold", requests, _random -> threshold(requestClass));
            measure(figures, requestClass, "random", requests, random -> random.nextBoolean() ? strong() : cheap());
            CascadePlanner planner = new CascadePlanner(new Random(SEED));
            measureLearning(figures, requestClass, requests, planner);
        }
        return figures;
    }

    private static Plan strong() {
        return new Plan(1, OptionalDouble.empty(), false);
    }

    private static Plan cheap() {
        return new Plan(0, OptionalDouble.empty(), false);
    }

    private static Plan threshold(RequestClass requestClass) {
        return new Plan(0, OptionalDouble.of(requestClass.target()), false);
    }

    private static void measure(
            ArrayNode figures, RequestClass requestClass, String policy, int requests, Function<Random, Plan> choose) {
        Random random = new Random(SEED);
        Sums sums = new Sums();
        for (int index = 0; index < requests; index++) {
            answer(requestClass, choose.apply(random), random, sums, null);
        }
        sums.report(figures, requestClass, policy, requests);
    }

    private static void measureLearning(
            ArrayNode figures, RequestClass requestClass, int requests, CascadePlanner planner) {
        Random random = new Random(SEED);
        Sums sums = new Sums();
        Cascade cascade = new Cascade("class", List.of("cheap", "strong"), requestClass.target(), 60_000, 1);
        List<CascadePlanner.StepCost> costs = List.of(
                new CascadePlanner.StepCost("cheap", new Model.TokenPrice(0, 0)),
                new CascadePlanner.StepCost("strong", new Model.TokenPrice(0, 0)));
        CascadePlanner.PlanKey key = new CascadePlanner.PlanKey("workspace", requestClass.name());
        for (int index = 0; index < requests; index++) {
            answer(requestClass, planner.plan(key, cascade, costs), random, sums, (step, score, cost) -> {
                planner.recordAnswer(key, step, Math.round(cost), 500);
                if (!Double.isNaN(score)) {
                    planner.recordRating(key, step, score);
                }
            });
        }
        sums.report(figures, requestClass, "planner", requests);
    }

    private static void answer(RequestClass requestClass, Plan plan, Random random, Sums sums, Learner learner) {
        double difficulty = random.nextDouble();
        int step = plan.firstStep();
        double score = requestClass.score(step, difficulty, random);
        sums.cost += requestClass.cost(step);
        boolean gated = plan.acceptAtLeast().isPresent() && step == 0;
        boolean rated = gated || plan.sampled();
        sums.cost += rated ? RATING_MICROS : 0;
        teach(learner, step, rated ? score : Double.NaN, requestClass);
        if (gated && score < plan.acceptAtLeast().getAsDouble()) {
            step = 1;
            score = requestClass.score(step, difficulty, random);
            sums.cost += requestClass.cost(step);
            boolean sampled = plan.sampled();
            sums.cost += sampled ? RATING_MICROS : 0;
            teach(learner, step, sampled ? score : Double.NaN, requestClass);
        }
        sums.quality += score;
        sums.strong += step;
    }

    private static void teach(Learner learner, int step, double score, RequestClass requestClass) {
        if (learner != null) {
            learner.learn(step, score, requestClass.cost(step));
        }
    }

    @FunctionalInterface
    private interface Learner {
        void learn(int step, double score, double cost);
    }

    private static final class Sums {
        private double cost;
        private double quality;
        private long strong;

        void report(ArrayNode figures, RequestClass requestClass, String policy, int requests) {
            figures.addObject()
                    .put("class", requestClass.name())
                    .put("policy", policy)
                    .put("target", requestClass.target())
                    .put("mean quality", quality / requests)
                    .put("micros a request", cost / requests)
                    .put("answered by strong, percent", 100.0 * strong / requests);
        }
    }

    /**
     * A request class of one of the users; prices follow the example configurations.
     *
     * @param cheapSkill rating of the cheap model's answer to the easiest request
     * @param cheapSlope what the hardest request takes from it
     */
    record RequestClass(
            String name,
            double target,
            double cheapSkill,
            double cheapSlope,
            double strongSkill,
            double strongSlope,
            double cheapMicros,
            double strongMicros,
            double weight) {
        static final List<RequestClass> ALL = List.of(
                new RequestClass("badvakt coverage-check", 0.80, 0.98, 0.22, 0.98, 0.06, 30, 520, 0.45),
                new RequestClass("badvakt shift-summary", 0.85, 0.96, 0.40, 0.97, 0.08, 140, 2_400, 0.35),
                new RequestClass("badvakt season-plan", 0.85, 0.70, 0.40, 0.95, 0.10, 900, 16_000, 0.05),
                new RequestClass("piedra fria fit-for-league", 0.80, 0.99, 0.15, 0.98, 0.05, 12, 330, 0.40),
                new RequestClass("piedra fria sharpening", 0.82, 0.97, 0.30, 0.97, 0.06, 45, 1_150, 0.40),
                new RequestClass("piedra fria history", 0.85, 0.72, 0.35, 0.94, 0.08, 600, 11_000, 0.05));

        double score(int step, double difficulty, Random random) {
            double mean = step == 0 ? cheapSkill - cheapSlope * difficulty : strongSkill - strongSlope * difficulty;
            return Math.max(0, Math.min(1, mean + NOISE * random.nextGaussian()));
        }

        double cost(int step) {
            return step == 0 ? cheapMicros : strongMicros;
        }
    }
}
