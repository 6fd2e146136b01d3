package io.heatherloft.router.request;

import io.heatherloft.domain.route.RepeatPolicy;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Selects the model for a request: the smallest first, then the largest if the response has low confidence. A request that
 * runs only once gets the largest model, since no second run can mend a poor response.
 *
 * <p>Confined to the loop's thread.
 */
final class ModelCascade {
    // Confidence, from 0 to 100, at which a response is as likely correct as incorrect.
    private static final int MIN_CONFIDENCE = 50;

    private final List<String> models;
    private int currentIndex;
    private Reason reason;

    /** Why a model was selected; part of the log. */
    enum Reason {
        /** The caller specifies the model. */
        CALLER,
        /** A larger model follows if the response has low confidence. */
        SMALLEST_FIRST,
        /** The request runs only once. */
        RUNS_ONCE,
        /** The response of a smaller model had low confidence. */
        LOW_CONFIDENCE
    }

    /**
     * Creates a cascade.
     *
     * @param models models in ascending order of size; empty if the caller specifies the model
     */
    ModelCascade(List<String> models, RepeatPolicy repeatPolicy) {
        this.models = models;
        if (models.isEmpty()) {
            reason = Reason.CALLER;
        } else if (repeatPolicy.mayRepeat()) {
            reason = Reason.SMALLEST_FIRST;
        } else {
            selectLargest(Reason.RUNS_ONCE);
        }
    }

    private void selectLargest(Reason newReason) {
        currentIndex = models.size() - 1;
        reason = newReason;
    }

    /** Returns why the current model was selected. */
    Reason reason() {
        return reason;
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
        selectLargest(Reason.LOW_CONFIDENCE);
    }
}
