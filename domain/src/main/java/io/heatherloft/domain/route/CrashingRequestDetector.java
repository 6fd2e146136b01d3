package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects requests that crash the backend servers on which they run, and blocks them.
 *
 * <p>A request whose answer was cut off becomes a suspect when its server is found to be down. Requests that merely ran
 * on the same server become suspects too; a complete answer clears them. Invariants: a request is blocked only while
 * crashes of three servers are recorded for it and none has answered it; records are bounded in number and age.
 * Confined to one thread.
 */
public final class CrashingRequestDetector {
    // The platform's rules allow a request to crash three servers before it must be detected.
    private static final int BLOCKING_CRASHES = 3;
    // Maximum time until the crash of a server is detected: three missed heartbeats and a call to the store.
    private static final long DETECTION_WINDOW_MILLIS = 6_000L;
    // Time after which a blocked request is tried again, as the fault of the servers may have been fixed.
    private static final long RETENTION_MILLIS = 60_000L;
    private static final int MAX_ENTRIES = 256;

    private final Map<Long, Map<String, Long>> crashes = BoundedMap.withFifoEviction(MAX_ENTRIES);
    private final Map<Long, Long> answered = BoundedMap.withFifoEviction(MAX_ENTRIES);
    private final Map<String, List<IncompleteAnswer>> incompleteByServer = BoundedMap.withFifoEviction(MAX_ENTRIES);

    /** The crash of a server while it ran a request. */
    public record Crash(long request, String server) {}

    private record IncompleteAnswer(long request, long atMillis) {}

    /** Records that a server's answer to a request ended before it was complete. */
    public void recordIncompleteAnswer(long request, String server, long nowMillis) {
        List<IncompleteAnswer> onServer = incompleteByServer.computeIfAbsent(server, _server -> new ArrayList<>());
        onServer.removeIf(incomplete -> nowMillis - incomplete.atMillis() > DETECTION_WINDOW_MILLIS);
        if (onServer.size() < MAX_ENTRIES) {
            onServer.add(new IncompleteAnswer(request, nowMillis));
        }
    }

    /**
     * Records that a server refused a connection, restarted or disappeared; its recent incomplete answers are then
     * counted as crashes.
     */
    public void recordServerDown(String server, long nowMillis) {
        List<IncompleteAnswer> onServer = incompleteByServer.remove(server);
        if (onServer != null) {
            onServer.stream()
                    .filter(incomplete -> nowMillis - incomplete.atMillis() <= DETECTION_WINDOW_MILLIS)
                    .forEach(incomplete -> mergeCrash(new Crash(incomplete.request(), server), nowMillis));
        }
    }

    /** Records that a server answered a request, which clears the request of suspicion. */
    public void recordAnswered(long request, long nowMillis) {
        if (crashes.remove(request) != null) {
            answered.put(request, nowMillis);
        }
    }

    /** Merges a crash reported by another host; ignored if the request has been answered. */
    public void mergeCrash(Crash crash, long nowMillis) {
        if (isRetained(answered.get(crash.request()), nowMillis)) {
            return;
        }
        crashes.computeIfAbsent(crash.request(), _request -> new HashMap<>()).putIfAbsent(crash.server(), nowMillis);
    }

    /** Merges the report of another host that a request was answered. */
    public void mergeAnswered(long request, long nowMillis) {
        if (!isRetained(answered.get(request), nowMillis)) {
            crashes.remove(request);
            answered.put(request, nowMillis);
        }
    }

    /** Returns true if there are no suspects; requests then need no fingerprint. */
    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    /** Returns true if a request must not be sent to a further server. */
    public boolean isBlocked(long request, long nowMillis) {
        Map<String, Long> servers = crashes.getOrDefault(request, Map.of());
        servers.values().removeIf(atMillis -> !isRetained(atMillis, nowMillis));
        return servers.size() >= BLOCKING_CRASHES;
    }

    /** Returns up to {@code limit} recorded crashes, to be reported to other hosts. */
    public List<Crash> crashes(long nowMillis, int limit) {
        return crashes.entrySet().stream()
                .flatMap(entry -> entry.getValue().entrySet().stream()
                        .filter(crash -> isRetained(crash.getValue(), nowMillis))
                        .map(crash -> new Crash(entry.getKey(), crash.getKey())))
                .limit(limit)
                .toList();
    }

    /** Returns the requests that were cleared by an answer, to be reported to other hosts. */
    public Set<Long> answered(long nowMillis) {
        Set<Long> retained = new HashSet<>(answered.keySet());
        retained.removeIf(request -> !isRetained(answered.get(request), nowMillis));
        return retained;
    }

    private static boolean isRetained(Long atMillis, long nowMillis) {
        return atMillis != null && nowMillis - atMillis <= RETENTION_MILLIS;
    }
}
