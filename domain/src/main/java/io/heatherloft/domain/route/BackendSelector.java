package io.heatherloft.domain.route;

import io.heatherloft.domain.StableHash;
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
    // Part of the time to the first token that a slow engine lengthens whatever its load: a prompt of 6,600 tokens at
    // 61 a millisecond. Without it, the factor of a server without known load would have no effect.
    private static final double ENGINE_BASE_MILLIS = 108.0;

    // Response times include the wait in a server's queue, which factors follow with delay. With factors in full under
    // heavy load, hosts filled one server after the other: 6.9% of sends were rejected at a load at which none are
    // without factors. So factors count in full up to the first part of used slots, and not at all from the second.
    // Known loads are less than half of the real ones in a fleet of 70 hosts.
    private static final double FULL_FACTOR_USE = 0.125;
    private static final double NO_FACTOR_USE = 0.25;

    private BackendSelector() {}

    /**
     * A server that may run the request, with its load as seen by this host.
     *
     * @param requestsInProgress requests in progress on the server, of all hosts as far as known
     * @param pendingPromptTokens prompt tokens of this host's requests that the server has not begun to answer
     * @param slots maximum number of requests that the server runs concurrently
     * @param prefixCached true if this host recently sent it a request with the same shared prefix
     * @param failureRate smoothed fraction of requests that failed on the server
     * @param responseTimeFactor response time of the server relative to the others of its service; 1 if unknown
     */
    public record Candidate<T>(
            T server,
            long idHash,
            double requestsInProgress,
            long pendingPromptTokens,
            int slots,
            boolean prefixCached,
            boolean sameZone,
            double failureRate,
            double responseTimeFactor) {
        /** Creates a candidate whose speed is unknown. */
        public Candidate(
                T server,
                long idHash,
                double requestsInProgress,
                long pendingPromptTokens,
                int slots,
                boolean prefixCached,
                boolean sameZone,
                double failureRate) {
            this(
                    server,
                    idHash,
                    requestsInProgress,
                    pendingPromptTokens,
                    slots,
                    prefixCached,
                    sameZone,
                    failureRate,
                    1);
        }
    }

    /**
     * Returns the server that should run a request; empty if there are no candidates.
     *
     * @param prefixHash hash of the longest shared prefix of the prompt, or of the request's id if there is none
     * @param sharedTokens length of the shared prefix in tokens; 0 for a plain service
     */
    public static <T> Optional<T> choose(List<Candidate<T>> candidates, long prefixHash, int sharedTokens) {
        // A loop over arrays of numbers, since this runs for every request over up to 600 servers.
        int count = candidates.size();
        long[] weights = new long[count];
        long preferred = Long.MIN_VALUE;
        double requests = 0;
        double slots = 0;
        for (int index = 0; index < count; index++) {
            weights[index] = weight(candidates.get(index), prefixHash);
            preferred = Math.max(preferred, weights[index]);
            requests += candidates.get(index).requestsInProgress();
            slots += candidates.get(index).slots();
        }
        double factorWeight = factorWeight(requests / Math.max(1, slots));
        int chosen = -1;
        double least = Double.POSITIVE_INFINITY;
        for (int index = 0; index < count; index++) {
            double millis =
                    expectedMillis(candidates.get(index), sharedTokens, weights[index] == preferred, factorWeight);
            if (chosen < 0 || millis < least || (millis == least && weights[index] > weights[chosen])) {
                chosen = index;
                least = millis;
            }
        }
        return chosen < 0
                ? Optional.empty()
                : Optional.of(candidates.get(chosen).server());
    }

    private static double factorWeight(double usedSlots) {
        return Math.max(0, Math.min(1, (NO_FACTOR_USE - usedSlots) / (NO_FACTOR_USE - FULL_FACTOR_USE)));
    }

    private static <T> double expectedMillis(
            Candidate<T> candidate, int sharedTokens, boolean preferred, double factorWeight) {
        double failureMillis = candidate.failureRate() * FAILURE_PENALTY_MILLIS;
        if (sharedTokens == 0) {
            double zoneMillis = candidate.sameZone() ? 0 : OTHER_ZONE_PENALTY_MILLIS;
            double perSlot = candidate.requestsInProgress() / Math.max(1, candidate.slots());
            return atSpeed(perSlot * PLAIN_REQUEST_MILLIS, PLAIN_REQUEST_MILLIS, candidate, factorWeight)
                    + zoneMillis
                    + failureMillis;
        }
        boolean cached = preferred || candidate.prefixCached();
        long tokens = candidate.pendingPromptTokens() + (cached ? 0 : sharedTokens);
        double millis =
                candidate.requestsInProgress() * ENGINE_REQUEST_MILLIS + tokens / ENGINE_PROMPT_TOKENS_PER_MILLI;
        return atSpeed(millis, ENGINE_BASE_MILLIS, candidate, factorWeight) + failureMillis;
    }

    // The base time is common to all candidates, so that only its difference from that of a server of usual speed
    // counts.
    private static <T> double atSpeed(double millis, double baseMillis, Candidate<T> candidate, double factorWeight) {
        return millis + factorWeight * (candidate.responseTimeFactor() - 1) * (baseMillis + millis);
    }

    private static <T> long weight(Candidate<T> candidate, long prefixHash) {
        return StableHash.mix(candidate.idHash(), prefixHash);
    }
}
