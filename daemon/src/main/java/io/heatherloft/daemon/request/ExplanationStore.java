package io.heatherloft.daemon.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The explanations of recent requests.
 *
 * <p>Invariant: bounded; the oldest is dropped first. Confined to the loop's thread.
 */
public final class ExplanationStore {
    private static final int CAPACITY = 10_000;

    private final Map<String, Explanation> explanations = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Explanation> _eldest) {
            return size() > CAPACITY;
        }
    };

    /** Keeps an explanation; a resend of a request replaces what was kept of the earlier send. */
    public void put(Explanation explanation) {
        explanations.put(explanation.requestId(), explanation);
    }

    /** Returns the explanation of a request. */
    public Optional<Explanation> find(String requestId) {
        return Optional.ofNullable(explanations.get(requestId));
    }
}
