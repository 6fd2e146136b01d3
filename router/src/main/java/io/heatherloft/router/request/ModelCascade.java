package io.heatherloft.router.request;

import io.heatherloft.domain.route.ModelSizePolicy;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Selects the model for a request: the largest if the service has capacity for it, else the smallest first and then the largest
 * if the response has low confidence.
 *
 * <p>Confined to the loop's thread.
 */
final class ModelCascade {
    private final List<String> models;
    private int currentIndex;

    /**
     * Creates a cascade.
     *
     * @param models models in ascending order of size; empty if the caller specifies the model
     */
    ModelCascade(List<String> models) {
        this.models = models;
    }

    /** Selects the first model; called before the first send, with the load of the service and the request's priority. */
    void begin(double load, int priority) {
        if (hasLargerModel() && ModelSizePolicy.startsWithLargest(load, priority)) {
            escalate();
        }
    }

    /** Returns the current model; empty if the caller specifies the model. */
    Optional<String> currentModel() {
        return models.isEmpty() ? Optional.empty() : Optional.of(models.get(currentIndex));
    }

    /** Returns true if the cascade has a model larger than the current one. */
    boolean hasLargerModel() {
        return currentIndex + 1 < models.size();
    }

    /** Returns true if a response with this confidence is kept at a load; a missing confidence counts as 0. */
    boolean isSufficient(OptionalInt confidence, double load) {
        return confidence.orElse(0) >= ModelSizePolicy.minConfidence(load);
    }

    /** Switches to the largest model. */
    void escalate() {
        currentIndex = models.size() - 1;
    }
}
