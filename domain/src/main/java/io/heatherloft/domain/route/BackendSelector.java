package io.heatherloft.domain.route;

import io.heatherloft.domain.StableHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the backend server with the shortest expected time to the first byte of the answer.
 *
 * <p>For an engine, the expected time grows with the requests in progress and with the prompt tokens that it must
 * process because they are not in its cache. Rendezvous hashing makes every host prefer the same server for prompts
 * with the same shared prefix. Invariant: candidates with equal expected times are ordered by their weights alone.
 * Stateless and thread-safe.
 */
public final class BackendSelector {
    // Delay of the next request's first token per request in progress, in milliseconds: each request lengthens an
    // engine's step by 0.02 ms and takes a place in its batch.
    private static final double ENGINE_REQUEST_MILLIS = 2.0;
    // Prompt tokens that a large model processes per millisecond: a third of the published 68 of a small one.
    private static final double ENGINE_PROMPT_TOKENS_PER_MILLI = 22.0;
    // Typical service time of a plain service, which runs requests concurrently, in milliseconds.
    private static final double PLAIN_REQUEST_MILLIS = 20.0;
    // A request to another availability zone takes an extra round trip, and its traffic is charged for.
    private static final double OTHER_ZONE_PENALTY_MILLIS = 3.0;
    private static final double FAILURE_PENALTY_MILLIS = 400.0;

    private BackendSelector() {}

    /**
     * A server that may run the request, with its load as seen by this host.
     *
     * @param requestsInProgress requests in progress on the server, of all hosts as far as known
     * @param pendingPromptTokens prompt tokens of this host's requests that the server has not begun to answer
     * @param slots maximum number of requests that the server runs concurrently
     * @param prefixCached true if this host recently sent it a request with the same shared prefix
     * @param failureRate smoothed fraction of requests that failed on the server
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
     * Returns the server that should run a request; empty if there are no candidates.
     *
     * @param prefixHash hash of the longest shared prefix of the prompt, or of the request's id if there is none
     * @param sharedTokens length of the shared prefix in tokens; 0 for a plain service
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
