package io.heatherloft.router.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The model that runs a request: the smallest first, the largest after an answer of little confidence.
 *
 * <p>Confined to the loop's thread.
 */
final class ModelCascade {
    // Confidence, from 0 to 100, at which an answer is as likely right as wrong.
    private static final int MIN_CONFIDENCE = 50;

    private final List<String> models;
    private int currentIndex;

    /**
     * Creates a choice.
     *
     * @param sizes models, smallest first; empty if the caller names the model
     */
    ModelCascade(List<String> sizes) {
        this.models = sizes;
    }

    /** Returns the model that runs the request; empty if the caller named it. */
    Optional<String> currentModel() {
        return models.isEmpty() ? Optional.empty() : Optional.of(models.get(currentIndex));
    }

    /** Returns true if a larger model may run the request. */
    boolean hasLargerModel() {
        return currentIndex + 1 < models.size();
    }

    /** Returns true if an answer of a confidence is kept; none stated counts as none. */
    boolean isSufficient(OptionalInt confidence) {
        return confidence.orElse(0) >= MIN_CONFIDENCE;
    }

    /** The largest model runs the request from now on. */
    void escalate() {
        currentIndex = models.size() - 1;
    }
}
