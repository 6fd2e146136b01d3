package io.heatherloft.ports.rating;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's service that rates the quality of answers. Confined to the event loop thread.
 */
@FunctionalInterface
public interface RatingService {
    /** Returns a rating between 0 and 1; fails if the service does not respond. */
    CompletableFuture<Double> rate(RatingRequest request);

    /**
     * An answer to rate.
     *
     * @param prompt the messages of the request, concatenated
     */
    record RatingRequest(String prompt, String answer) {}
}
