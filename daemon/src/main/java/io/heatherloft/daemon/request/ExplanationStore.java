package io.heatherloft.daemon.request;

import io.heatherloft.domain.BoundedMap;
import java.util.Map;
import java.util.Optional;

/**
 * In-memory store of the explanations of recent requests.
 *
 * <p>Invariant: bounded; the oldest explanation is evicted first. Confined to the event loop thread.
 */
public final class ExplanationStore {
    private static final int CAPACITY = 10_000;

    private final Map<String, Explanation> explanations = BoundedMap.withFifoEviction(CAPACITY);

    /** Stores an explanation; if a request is sent again, its explanation replaces the earlier one. */
    public void put(Explanation explanation) {
        explanations.put(explanation.requestId(), explanation);
    }

    /** Returns the explanation of a request. */
    public Optional<Explanation> find(String requestId) {
        return Optional.ofNullable(explanations.get(requestId));
    }
}
