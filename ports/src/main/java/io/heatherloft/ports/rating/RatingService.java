package io.heatherloft.ports.rating;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's service that rates answers. Confined to the loop's thread.
 */
@FunctionalInterface
public interface RatingService {
    /** Rates an answer from 0 to 1; fails if the service does not answer. */
    CompletableFuture<Double> rate(RatingRequest question);

    /**
     * An answer to be rated.
     *
     * @param prompt the request's messages, as one text
     */
    record RatingRequest(String prompt, String answer) {}
}
