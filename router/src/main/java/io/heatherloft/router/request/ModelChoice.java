package io.heatherloft.router.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The model that runs a request: the smallest first, the largest after an answer of little confidence.
 *
 * <p>Confined to the loop's thread.
 */
final class ModelChoice {
    // Confidence, from 0 to 100, at which an answer is as likely right as wrong.
    private static final int SUFFICIENT_CONFIDENCE = 50;

    private final List<String> sizes;
    private int index;

    /**
     * Creates a choice.
     *
     * @param sizes models, smallest first; empty if the caller names the model
     */
    ModelChoice(List<String> sizes) {
        this.sizes = sizes;
    }

    /** Returns the model that runs the request; empty if the caller named it. */
    Optional<String> current() {
        return sizes.isEmpty() ? Optional.empty() : Optional.of(sizes.get(index));
    }

    /** Returns true if a larger model may run the request. */
    boolean hasLarger() {
        return index + 1 < sizes.size();
    }

    /** Returns true if an answer of a confidence is kept; none stated counts as none. */
    boolean isSufficient(OptionalInt confidence) {
        return confidence.orElse(0) >= SUFFICIENT_CONFIDENCE;
    }

    /** The largest model runs the request from now on. */
    void takeLargest() {
        index = sizes.size() - 1;
    }
}
