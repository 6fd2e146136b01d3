package io.heatherloft.domain.routing;

import io.heatherloft.domain.StableHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Chooses the backend server of an attempt: the one with the least work, where a likely hit of its prefix cache counts
 * as less work.
 *
 * <p>The candidates are ordered by their rendezvous weights for the request's prefix, so that requests with one prefix
 * prefer the same few backend servers on every entry host; equal work keeps that order. What the preference may cost in
 * balance is bounded by the bonus, which bounds hot spots. Invariant: the same candidates and prefix give the same
 * choice. Stateless and safe for use by several threads.
 */
public final class Placement {
    private static final int PREFERRED_CANDIDATES = 2;
    // Outstanding requests that a likely hit of the prefix cache outweighs.
    private static final double SEEN_PREFIX_BONUS = 1.0;
    private static final double UNSEEN_PREFIX_BONUS = 0.5;
    // Reports lag, so they count less than the host's own work.
    private static final double QUEUE_LENGTH_WEIGHT = 0.2;

    private Placement() {}

    /**
     * Returns the candidate that should run a request; empty if all are at their limit.
     *
     * @param prefixShared true if this host lately saw another request with the prefix
     */
    public static Optional<Candidate> choose(List<Candidate> candidates, long prefixHash, boolean prefixShared) {
        double bonus = prefixShared ? SEEN_PREFIX_BONUS : UNSEEN_PREFIX_BONUS;
        List<Candidate> ranked = candidates.stream()
                .filter(Candidate::hasCapacity)
                .sorted(Comparator.comparingLong((Candidate candidate) -> candidate.weight(prefixHash))
                        .reversed())
                .toList();
        // The first of equal cost wins, so equals keep the order of the prefix.
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
     * A backend server as one entry host sees it.
     *
     * @param outstanding attempts of this host in progress on it
     * @param maxOutstanding most attempts of this host on it at once
     * @param reportedQueueLength requests that it last reported as waiting
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
