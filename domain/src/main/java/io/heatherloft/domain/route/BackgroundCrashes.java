package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Crashes of backend servers, whatever they ran; estimates how likely a run meets a crash that it has not caused.
 *
 * <p>A server that starts again has a new incarnation and keeps its address. An address whose servers crash again and again
 * explains its own crashes: they count for runs on it, and hardly for runs elsewhere. Invariants: crashes after a time do not
 * change the estimate for that time; crashes are bounded in number. Confined to one thread.
 */
final class BackgroundCrashes {
    private static final long WINDOW_MILLIS = 10_000L;
    // Shows within seconds that servers have begun to crash.
    private static final long SHORT_WINDOW_MILLIS = 2_500L;
    // Crashes are found some seconds late, and the ones before them matter then.
    private static final long RETENTION_MILLIS = 3 * WINDOW_MILLIS;
    // A run is known to have met no crash once its server has been up for this time after the response began.
    private static final long EXPOSURE_MILLIS = 2_000L;
    /** Least chance, since a server may crash for a reason of which no other crash tells. */
    static final double MIN_CHANCE = 0.03;

    private static final int MAX_CRASHES = 1_024;

    private final Map<Long, Crash> crashes = BoundedMap.withFifoEviction(MAX_CRASHES);

    private record Crash(long address, long atMillis) {}

    /**
     * Records a crash; the first record of each server counts.
     *
     * @param server hash of the server's incarnation
     * @param address hash of the server's address
     */
    void record(long server, long address, long atMillis) {
        crashes.putIfAbsent(server, new Crash(address, atMillis));
    }

    /** Forgets crashes that no longer matter. */
    void prune(long nowMillis) {
        crashes.values().removeIf(crash -> nowMillis - crash.atMillis() > RETENTION_MILLIS);
    }

    /**
     * Returns the chance, from {@value #MIN_CHANCE} to 1, that a run which began shortly before a time met a crash that it
     * did not cause.
     *
     * @param address hash of the address on which it ran
     * @param explained tells of a server whether its crash has a known cause, so that it is no sign of others
     * @param addresses number of addresses in the fleet
     */
    double chance(long address, long atMillis, LongPredicate explained, int addresses) {
        List<Crash> unexplained = crashes.entrySet().stream()
                .filter(crash -> !explained.test(crash.getKey()))
                .map(Map.Entry::getValue)
                .filter(crash -> crash.atMillis() < atMillis)
                .toList();
        double crashesPerMilli = LongStream.of(WINDOW_MILLIS, SHORT_WINDOW_MILLIS)
                .mapToDouble(window -> typicalCrashes(unexplained, address, atMillis - window, addresses) / window)
                .max()
                .orElse(0);
        return Math.max(MIN_CHANCE, 1 - Math.exp(-crashesPerMilli * EXPOSURE_MILLIS));
    }

    private static double typicalCrashes(List<Crash> crashes, long address, long sinceMillis, int addresses) {
        Map<Long, Long> countsByAddress = crashes.stream()
                .filter(crash -> crash.atMillis() >= sinceMillis)
                .collect(Collectors.groupingBy(Crash::address, Collectors.counting()));
        // One crash may be chance; only further ones show that the address itself is the reason.
        double onAddress = Math.max(0, countsByAddress.getOrDefault(address, 0L) - 1);
        return Math.max(onAddress, typicalCount(List.copyOf(countsByAddress.values()), addresses));
    }

    // Mean number of crashes of an address; those with far more than the median count like the others.
    private static double typicalCount(List<Long> counts, int knownAddresses) {
        int addresses = Math.max(knownAddresses, counts.size());
        if (counts.isEmpty()) {
            return 0;
        }
        long[] ascending = LongStream.concat(
                        LongStream.generate(() -> 0).limit(addresses - counts.size()),
                        counts.stream().mapToLong(Long::longValue).sorted())
                .toArray();
        long limit = 1 + 2 * ascending[addresses / 2];
        return Arrays.stream(ascending)
                .map(count -> Math.min(count, limit))
                .average()
                .orElse(0);
    }
}
