package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the requests that crash each backend server that runs them.
 *
 * <p>A request whose answer broke off is a suspect of its server's crash once the server turns out to be down. Requests
 * that only ran beside it are suspects too, but each of their later answers clears them. Invariants: a request is blocked
 * only while three servers crashed under it and none has answered it; what is remembered is bounded in number and age.
 * Confined to one thread.
 */
public final class CrashingRequestDetector {
    // The platform's rules allow a request to crash three servers before it must be recognized.
    private static final int BLOCKING_CRASHES = 3;
    // Time in which the end of a server shows: three missed heartbeats and a store call.
    private static final long DETECTION_WINDOW_MILLIS = 6_000L;
    // Time after which a blocked request is tried once more, for a server that has been mended since.
    private static final long RETENTION_MILLIS = 60_000L;
    private static final int MAX_ENTRIES = 256;

    private final Map<Long, Map<String, Long>> crashes = BoundedMap.withFifoEviction(MAX_ENTRIES);
    private final Map<Long, Long> answered = BoundedMap.withFifoEviction(MAX_ENTRIES);
    private final Map<String, List<IncompleteAnswer>> incompleteByServer = BoundedMap.withFifoEviction(MAX_ENTRIES);

    /** A server that crashed while it ran a request. */
    public record Crash(long request, String server) {}

    private record IncompleteAnswer(long request, long atMillis) {}

    /** A server's answer to a request broke off before its end. */
    public void recordIncompleteAnswer(long request, String server, long nowMillis) {
        List<IncompleteAnswer> onServer = incompleteByServer.computeIfAbsent(server, _server -> new ArrayList<>());
        onServer.removeIf(broken -> nowMillis - broken.atMillis() > DETECTION_WINDOW_MILLIS);
        if (onServer.size() < MAX_ENTRIES) {
            onServer.add(new IncompleteAnswer(request, nowMillis));
        }
    }

    /** A server refused a connection, has started anew or has vanished: what broke off there lately was a crash. */
    public void recordServerDown(String server, long nowMillis) {
        List<IncompleteAnswer> onServer = incompleteByServer.remove(server);
        if (onServer != null) {
            onServer.stream()
                    .filter(broken -> nowMillis - broken.atMillis() <= DETECTION_WINDOW_MILLIS)
                    .forEach(broken -> mergeCrash(new Crash(broken.request(), server), nowMillis));
        }
    }

    /** A server has answered a request: it crashes none. */
    public void recordAnswered(long request, long nowMillis) {
        if (crashes.remove(request) != null) {
            answered.put(request, nowMillis);
        }
    }

    /** Takes a crash that another host saw; ignored if the request was answered meanwhile. */
    public void mergeCrash(Crash crash, long nowMillis) {
        if (isRetained(answered.get(crash.request()), nowMillis)) {
            return;
        }
        crashes.computeIfAbsent(crash.request(), _request -> new HashMap<>()).putIfAbsent(crash.server(), nowMillis);
    }

    /** Takes from another host that a request was answered. */
    public void mergeAnswered(long request, long nowMillis) {
        if (!isRetained(answered.get(request), nowMillis)) {
            crashes.remove(request);
            answered.put(request, nowMillis);
        }
    }

    /** Returns true if anything is suspected; if not, requests need not be identified. */
    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    /** Returns true if a request must not be sent to another server. */
    public boolean isBlocked(long request, long nowMillis) {
        Map<String, Long> servers = crashes.getOrDefault(request, Map.of());
        servers.values().removeIf(atMillis -> !isRetained(atMillis, nowMillis));
        return servers.size() >= BLOCKING_CRASHES;
    }

    /** Returns the crashes that are remembered, for other hosts. */
    public List<Crash> crashes(long nowMillis, int limit) {
        return crashes.entrySet().stream()
                .flatMap(entry -> entry.getValue().entrySet().stream()
                        .filter(crash -> isRetained(crash.getValue(), nowMillis))
                        .map(crash -> new Crash(entry.getKey(), crash.getKey())))
                .limit(limit)
                .toList();
    }

    /** Returns the suspects that were answered, for other hosts. */
    public Set<Long> answered(long nowMillis) {
        Set<Long> fresh = new HashSet<>(answered.keySet());
        fresh.removeIf(request -> !isRetained(answered.get(request), nowMillis));
        return fresh;
    }

    private static boolean isRetained(Long atMillis, long nowMillis) {
        return atMillis != null && nowMillis - atMillis <= RETENTION_MILLIS;
    }
}
