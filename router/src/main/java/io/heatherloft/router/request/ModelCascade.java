package io.heatherloft.router.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Selects the model for a request: the smallest first, then the largest if the response has low confidence.
 *
 * <p>Confined to the loop's thread.
 */
final class ModelCascade {
    // Confidence, from 0 to 100, at which a response is as likely correct as incorrect.
    private static final int MIN_CONFIDENCE = 50;

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

    /** Returns the current model; empty if the caller specifies the model. */
    Optional<String> currentModel() {
        return models.isEmpty() ? Optional.empty() : Optional.of(models.get(currentIndex));
    }

    /** Returns true if the cascade has a model larger than the current one. */
    boolean hasLargerModel() {
        return currentIndex + 1 < models.size();
    }

    /** Returns true if a response with this confidence is kept; a missing confidence counts as 0. */
    boolean isSufficient(OptionalInt confidence) {
        return confidence.orElse(0) >= MIN_CONFIDENCE;
    }

    /** Switches to the largest model. */
    void escalate() {
        currentIndex = models.size() - 1;
    }
}
