package io.heatherloft.domain.route;

import io.heatherloft.domain.StableHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the backend server that is expected to begin a request's answer first.
 *
 * <p>For an engine the expected time grows with the requests in progress and with the tokens of the prompt that it has
 * to read because they are not in its cache. Prompts with one shared part prefer the same server on every host, by
 * rendezvous weights. Invariant: equal candidates are told apart by their weights alone. Stateless and safe for use by
 * several threads.
 */
public final class BackendSelector {
    // Time by which one more answer in progress delays the first token of the next request, in milliseconds: steps of
    // an engine get longer by two hundredths of a millisecond each, and room in the batch gets scarce.
    private static final double ENGINE_REQUEST_MILLIS = 2.0;
    // Prompt tokens that a large model reads in a millisecond: a third of the published 68 of a small one.
    private static final double ENGINE_PROMPT_TOKENS_PER_MILLI = 22.0;
    // Requests on a plain service run side by side; this is a usual working time.
    private static final double PLAIN_REQUEST_MILLIS = 20.0;
    // A connection to another availability zone adds a round trip and is priced.
    private static final double OTHER_ZONE_PENALTY_MILLIS = 3.0;
    private static final double FAILURE_PENALTY_MILLIS = 400.0;

    private BackendSelector() {}

    /**
     * A server that may run the request.
     *
     * @param requestsInProgress requests in progress on it, of all hosts as far as known
     * @param pendingPromptTokens tokens of prompts that this host has sent to it and that it has not begun to answer
     * @param slots requests that it runs at once
     * @param prefixCached true if a request with the same shared part was sent to it lately
     * @param failureRate smoothed share of requests that failed on it
     */
    public record Candidate<T>(
            T server,
            long idHash,
            double requestsInProgress,
            long pendingPromptTokens,
            int slots,
            boolean prefixCached,
            boolean sameZone,
            double failureRate) {}

    /**
     * Returns the server that runs a request.
     *
     * @param prefixHash hash of the longest shared part of the prompt; of the request's identity if there is none
     * @param sharedTokens tokens of the prompt that other requests may share; 0 for a plain service
     */
    public static <T> Optional<T> choose(List<Candidate<T>> candidates, long prefixHash, int sharedTokens) {
        long preferred = candidates.stream()
                .mapToLong(candidate -> weight(candidate, prefixHash))
                .max()
                .orElse(0);
        return candidates.stream()
                .min(Comparator.comparingDouble((Candidate<T> candidate) ->
                                expectedMillis(candidate, sharedTokens, weight(candidate, prefixHash) == preferred))
                        .thenComparing(candidate -> weight(candidate, prefixHash), Comparator.reverseOrder()))
                .map(Candidate::server);
    }

    private static <T> double expectedMillis(Candidate<T> candidate, int sharedTokens, boolean preferred) {
        double zoneMillis = candidate.sameZone() ? 0 : OTHER_ZONE_PENALTY_MILLIS;
        double failureMillis = candidate.failureRate() * FAILURE_PENALTY_MILLIS;
        if (sharedTokens == 0) {
            double perSlot = candidate.requestsInProgress() / Math.max(1, candidate.slots());
            return perSlot * PLAIN_REQUEST_MILLIS + zoneMillis + failureMillis;
        }
        boolean cached = preferred || candidate.prefixCached();
        long tokens = candidate.pendingPromptTokens() + (cached ? 0 : sharedTokens);
        return candidate.requestsInProgress() * ENGINE_REQUEST_MILLIS
                + tokens / ENGINE_PROMPT_TOKENS_PER_MILLI
                + failureMillis;
    }

    private static <T> long weight(Candidate<T> candidate, long prefixHash) {
        return StableHash.mix(candidate.idHash(), prefixHash);
    }
}
