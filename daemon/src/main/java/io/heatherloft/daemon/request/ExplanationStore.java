package io.heatherloft.daemon.request;

import io.heatherloft.domain.BoundedMap;
import java.util.Map;
import java.util.Optional;

/**
 * The explanations of recent requests.
 *
 * <p>Invariant: bounded; the oldest is dropped first. Confined to the loop's thread.
 */
public final class ExplanationStore {
    private static final int CAPACITY = 10_000;

    private final Map<String, Explanation> explanations = BoundedMap.withFifoEviction(CAPACITY);

    /** Keeps an explanation; a resend of a request replaces what was kept of the earlier send. */
    public void put(Explanation explanation) {
        explanations.put(explanation.requestId(), explanation);
    }

    /** Returns the explanation of a request. */
    public Optional<Explanation> find(String requestId) {
        return Optional.ofNullable(explanations.get(requestId));
    }
}
