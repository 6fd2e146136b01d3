package io.heatherloft.daemon.request;

import io.heatherloft.daemon.Counters;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.rating.RatingService;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleConsumer;

/**
 * Has answers rated and passes the ratings to those who learn from them.
 *
 * <p>Invariant: a rating that does not come in time counts as failed, never as a low or a high one. Confined to the
 * loop's thread.
 */
public final class AnswerRatings {
    private static final long RATING_TIMEOUT_MILLIS = 2_000L;

    private final Loop loop;
    private final RatingService service;
    private final Counters counters;
    private final List<Listener> listeners = new ArrayList<>();

    /** Creates a caller of the rating service. */
    public AnswerRatings(Loop loop, RatingService service, Counters counters) {
        this.loop = loop;
        this.service = service;
        this.counters = counters;
    }

    /** Calls back for each rating. */
    public void onRating(Listener listener) {
        listeners.add(listener);
    }

    /** Rates an answer of a version; the future fails if no rating comes in time. */
    public CompletableFuture<Double> rate(VersionReference version, String prompt, String answer) {
        CompletableFuture<Double> rating = Futures.withTimeout(
                service.rate(new RatingService.RatingRequest(prompt, answer)), loop, RATING_TIMEOUT_MILLIS);
        Futures.onComplete(rating, (score, failure) -> {
            counters.count(failure == null ? "ratings.received" : "ratings.failed");
            if (failure == null) {
                listeners.forEach(listener -> listener.onRating(version, score));
            }
        });
        return rating;
    }

    /** Rates an answer for learning only. */
    public void sample(VersionReference version, String prompt, String answer, DoubleConsumer onScore) {
        Futures.onResult(rate(version, prompt, answer), onScore::accept);
    }

    /** Receives ratings. */
    @FunctionalInterface
    public interface Listener {
        /** An answer of {@code version} was rated, from 0 to 1. */
        void onRating(VersionReference version, double score);
    }
}
