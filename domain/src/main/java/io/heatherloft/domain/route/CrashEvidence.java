package io.heatherloft.domain.route;

import io.heatherloft.domain.route.CrashingPromptDetector.Crash;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Weighs the crashes of servers that ran requests with a prompt part.
 *
 * <p>Only the crashes of the part itself count, each by the chance that a run met it without having caused it. Stateless and
 * safe for use by several threads.
 */
final class CrashEvidence {
    /** Number of parts that are weighed against each other. */
    static final int MAX_PARTS = 256;

    private static final int BLOCKING_SERVERS = 3;
    private static final int BLOCKING_REQUESTS = 3;
    // With this number of servers, fewer different requests are enough.
    private static final int CERTAIN_SERVERS = 5;
    private static final int MIN_BLOCKING_REQUESTS = 2;
    // Number of servers if some of them had not begun to respond when they crashed.
    private static final int BLOCKING_SERVERS_AWAITED = 4;
    // Servers that crash within this time of each other are likely to have one cause, such as a loss of power.
    private static final long SIMULTANEOUS_MILLIS = 100L;
    /** Crashes that are at least so far apart count as several. */
    static final long DISTINCT_MILLIS = SIMULTANEOUS_MILLIS + 1;

    private static final int BLOCKING_MOMENTS = 2;
    // Expected number of sound parts that are blocked, if as many as are weighed meet crashes by chance.
    private static final double MAX_FALSE_ACCUSATIONS = 0.01;
    private static final double BLOCKING_EVIDENCE = Math.log(MAX_PARTS / MAX_FALSE_ACCUSATIONS);

    private CrashEvidence() {}

    /**
     * Returns true if a part is to be blocked for its crashes.
     *
     * @param explained servers whose crashes are due to other parts
     */
    static boolean isConvicted(List<Crash> ofPart, Set<Long> explained) {
        List<Crash> crashes = ofPart.stream()
                .filter(crash -> !explained.contains(crash.server()))
                .toList();
        List<Crash> begun = crashes.stream().filter(Crash::begun).toList();
        return isConvicted(begun, BLOCKING_SERVERS, BLOCKING_MOMENTS)
                || isConvicted(crashes, BLOCKING_SERVERS_AWAITED, BLOCKING_SERVERS_AWAITED);
    }

    private static boolean isConvicted(List<Crash> crashes, int minServers, int minMoments) {
        return isUnderSeveralRequests(crashes)
                && serversOf(crashes).size() >= minServers
                && moments(crashes) >= minMoments
                && sum(crashes) >= BLOCKING_EVIDENCE;
    }

    /**
     * Returns the evidence against a part, as the negative logarithm of a chance. The crash of one server counts once, however
     * many requests with the part ran on it.
     */
    static double sum(List<Crash> crashes) {
        return crashes.stream().collect(Collectors.toMap(Crash::server, Crash::evidence, Math::min)).values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
    }

    // A request that is retried can meet several crashes by chance; many crashes make that unlikely.
    private static boolean isUnderSeveralRequests(List<Crash> crashes) {
        long requests = crashes.stream().map(Crash::request).distinct().count();
        return requests >= BLOCKING_REQUESTS
                || (requests >= MIN_BLOCKING_REQUESTS && serversOf(crashes).size() >= CERTAIN_SERVERS);
    }

    private static int moments(List<Crash> crashes) {
        int moments = 0;
        long momentMillis = Long.MIN_VALUE / 2;
        for (long atMillis :
                crashes.stream().mapToLong(Crash::atMillis).sorted().toArray()) {
            if (atMillis - momentMillis > SIMULTANEOUS_MILLIS) {
                moments++;
                momentMillis = atMillis;
            }
        }
        return moments;
    }

    /** Returns the number of servers whose crashes are not due to other parts. */
    static long unexplainedServers(List<Crash> crashes, Set<Long> explained) {
        return serversOf(crashes).stream()
                .filter(server -> !explained.contains(server))
                .count();
    }

    /** Returns the number of servers that crashed under a request which contains both parts. */
    static long sharedServers(List<Crash> ofPart, List<Crash> ofOther) {
        return ofPart.stream()
                .filter(crash -> ofOther.stream()
                        .anyMatch(other -> other.server() == crash.server() && other.request() == crash.request()))
                .map(Crash::server)
                .distinct()
                .count();
    }

    /** Returns the servers of crashes, in a set that the caller may change. */
    static Set<Long> serversOf(List<Crash> crashes) {
        return crashes.stream().map(Crash::server).collect(Collectors.toCollection(HashSet::new));
    }
}
