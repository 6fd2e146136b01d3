package io.heatherloft.domain.routing;

import io.heatherloft.domain.StableHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Chooses the backend server for an attempt: the least loaded one, with a bonus for a likely hit in its prefix cache.
 *
 * <p>Candidates are ranked by rendezvous hashing of the request's prefix, so that every entry host prefers the same few
 * backend servers for a prefix; ties in load are broken by rank. The bonus bounds the load imbalance that the
 * preference may cause, and thereby hot spots. Invariant: the choice is deterministic for given candidates and prefix.
 * Stateless and thread-safe.
 */
public final class Placement {
    private static final int PREFERRED_CANDIDATES = 2;
    // Number of outstanding requests that a likely prefix cache hit outweighs.
    private static final double SEEN_PREFIX_BONUS = 1.0;
    private static final double UNSEEN_PREFIX_BONUS = 0.5;
    // Reported queue lengths are stale, so they count less than this host's own attempts.
    private static final double QUEUE_LENGTH_WEIGHT = 0.2;

    private Placement() {}

    /**
     * Returns the candidate that should run a request; empty if all are at their limits.
     *
     * @param prefixSeen true if this host recently saw another request with the prefix
     */
    public static Optional<Candidate> choose(List<Candidate> candidates, long prefixHash, boolean prefixSeen) {
        double bonus = prefixSeen ? SEEN_PREFIX_BONUS : UNSEEN_PREFIX_BONUS;
        List<Candidate> ranked = candidates.stream()
                .filter(Candidate::hasCapacity)
                .sorted(Comparator.comparingLong((Candidate candidate) -> candidate.weight(prefixHash))
                        .reversed())
                .toList();
        // min() returns the first of several minima, so ties in load are broken by rank.
        return IntStream.range(0, ranked.size())
                .boxed()
                .min(Comparator.comparingDouble(
                        rank -> costOf(ranked.get(rank), rank < PREFERRED_CANDIDATES ? bonus : 0)))
                .map(ranked::get);
    }

    private static double costOf(Candidate candidate, double bonus) {
        return candidate.outstanding() + QUEUE_LENGTH_WEIGHT * candidate.reportedQueueLength() - bonus;
    }

    /**
     * A backend server with its load as seen by one entry host.
     *
     * @param outstanding attempts of this host that are in progress on the server
     * @param maxOutstanding maximum number of concurrent attempts of this host on the server
     * @param reportedQueueLength queue length that the server last reported
     */
    public record Candidate(
            BackendServer server, long addressHash, int outstanding, int maxOutstanding, double reportedQueueLength) {
        boolean hasCapacity() {
            return outstanding < maxOutstanding;
        }

        long weight(long prefixHash) {
            return StableHash.mix(addressHash, prefixHash);
        }
    }
}
