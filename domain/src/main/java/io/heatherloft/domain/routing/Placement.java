package io.heatherloft.domain.routing;

import io.heatherloft.domain.StableHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the backend server of an attempt.
 *
 * <p>The candidates are ordered by their rendezvous weights for the request's prefix, so that requests with one prefix
 * meet on few backend servers, on every entry host alike; the cheaper of the first two wins. A candidate with more
 * than its fair share of work is passed over, which bounds hot spots (consistent hashing with bounded loads,
 * Mirrokni, Thorup, Zadimoghaddam 2018).
 *
 * <p>Invariant: the same candidates and prefix give the same choice. Stateless and safe for use by several threads.
 */
public final class Placement {
    private static final double FAIR_SHARE_FACTOR = 1.25;
    private static final double FAIR_SHARE_SLACK = 1.0;
    private static final double CACHED_PREFIX_COST = 0.6;
    private static final int CHOICES = 2;

    private Placement() {}

    /** Returns the candidate that should run a request with this prefix; empty if all are at their limit. */
    public static Optional<Candidate> choose(List<Candidate> candidates, long prefixHash) {
        List<Candidate> free = candidates.stream().filter(Candidate::hasRoom).toList();
        double fairShare =
                free.stream().mapToInt(Candidate::outstanding).average().orElse(0) * FAIR_SHARE_FACTOR
                        + FAIR_SHARE_SLACK;
        List<Candidate> pair = free.stream()
                .filter(candidate -> candidate.outstanding() <= fairShare)
                .sorted(Comparator.comparingLong((Candidate candidate) -> candidate.weight(prefixHash))
                        .reversed())
                .limit(CHOICES)
                .toList();
        return pair.isEmpty() ? Optional.empty() : Optional.of(cheaper(pair.get(0), pair.get(pair.size() - 1)));
    }

    private static Candidate cheaper(Candidate preferred, Candidate other) {
        return costOf(preferred) * CACHED_PREFIX_COST <= costOf(other) ? preferred : other;
    }

    private static double costOf(Candidate candidate) {
        return candidate.firstTokenMillis() * (1 + candidate.outstanding() + candidate.reportedWaiting());
    }

    /**
     * A backend server as one entry host sees it.
     *
     * @param outstanding attempts of this host in progress on it
     * @param limit most attempts of this host on it at once
     * @param firstTokenMillis recent time to the first token, in milliseconds
     * @param reportedWaiting requests that it last reported as waiting
     */
    public record Candidate(
            BackendServer server,
            long addressHash,
            int outstanding,
            int limit,
            double firstTokenMillis,
            double reportedWaiting) {
        boolean hasRoom() {
            return outstanding < limit;
        }

        long weight(long prefixHash) {
            return StableHash.mix(addressHash, prefixHash);
        }
    }
}
