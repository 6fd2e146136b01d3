package io.heatherloft.domain.cascade;

import io.heatherloft.domain.configuration.Cascade;
import io.heatherloft.domain.configuration.Model;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Decides how a request class climbs its cascade.
 *
 * <p>Confined to one thread.
 */
public final class CascadePlanner {
    /** Returns the plan for a request. */
    public Plan plan(PlanKey _key, Cascade cascade, List<StepCost> _costs) {
        return new Plan(0, OptionalDouble.of(cascade.qualityTarget()), false);
    }

    /** Records the rating of an answer of one step. */
    public void recordRating(PlanKey _key, int _step, double _score) {}

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
