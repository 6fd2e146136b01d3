package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import io.heatherloft.domain.StableHash;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Detects prompt parts on which backend servers crash, and blocks the requests that contain them.
 *
 * <p>A server that crashes soon after it has begun a response accuses the parts of that response's prompt. A server that
 * outlives the beginning of a response shows that the parts of its prompt are sound. Of the accused parts, the one with
 * the most crashes is blocked, and those crashes no longer count against other parts. Parts that mostly crashed
 * servers together cannot be told apart, so only requests that contain all of them are blocked.
 *
 * <p>Invariants: hosts with the same records block the same requests, in whichever order they received the records; a
 * part is blocked only for crashes of several servers under different requests, and only while it is not known to be
 * sound; records are bounded in number and age. Confined to one thread.
 */
public final class CrashingPromptDetector {
    /** Time after the last crash during which a part is blocked; then it is tried again. */
    public static final long QUARANTINE_MILLIS = 300_000L;

    // A crash is remembered for longer than the quarantine, so that one more crash blocks the part again.
    private static final long RETENTION_MILLIS = 900_000L;
    private static final int BLOCKING_SERVERS = 3;
    private static final int BLOCKING_REQUESTS = 3;
    // With this number of servers, fewer different requests are enough.
    private static final int CERTAIN_SERVERS = 5;
    private static final int MIN_BLOCKING_REQUESTS = 2;
    // A server that crashes on a prompt does so within this time after its response began.
    private static final long MAX_CRASH_DELAY_MILLIS = 1_000L;
    // A server that is up for this time after a response began has not crashed on its prompt.
    private static final long SOUND_DELAY_MILLIS = 2_000L;
    // A part is not accused of crashes within this time after it was sound.
    private static final long SOUND_RETENTION_MILLIS = 15_000L;
    // Maximum time until a crash is detected: three missed heartbeats and a call to the store.
    private static final long DETECTION_WINDOW_MILLIS = 6_000L;
    private static final long PRUNING_INTERVAL_MILLIS = 1_000L;
    private static final int MAX_RESPONSES = 1_024;
    private static final int MAX_PARTS = 256;
    private static final int MAX_SOUND_PARTS = 4_096;
    private static final int MAX_SERVERS = 256;
    private static final int MAX_CRASHES_PER_PART = 16;

    private final Deque<Response> responses = new ArrayDeque<>();
    private final Map<Long, Interruption> interruptions = BoundedMap.withFifoEviction(MAX_SERVERS);
    private final Map<Long, Long> crashedServers = BoundedMap.withFifoEviction(MAX_SERVERS);
    private final Map<Long, List<Crash>> crashesByPart = BoundedMap.withLruEviction(MAX_PARTS);
    private final Map<Long, Long> soundAtMillis = BoundedMap.withLruEviction(MAX_SOUND_PARTS);
    private List<Accusation> accusations = List.of();
    private boolean accusationsOutdated;
    private long nextPruningMillis = Long.MIN_VALUE;
    private long lastChangeMillis = Long.MIN_VALUE / 2;

    /**
     * The prompt of a request.
     *
     * @param sharedParts hashes of the parts that other requests can share: all but the last
     * @param request hash of the last part, which is the request's or its session's own
     */
    public record Prompt(List<Long> sharedParts, long request) {}

    /**
     * The crash of a server soon after it had begun to respond to a request with a part.
     *
     * @param part hash of the part
     * @param server hash of the server's incarnation
     * @param request hash that identifies the request
     */
    public record Crash(long part, long server, long request, long atMillis) {
        private boolean isSameAs(Crash other) {
            return part == other.part && server == other.server && request == other.request;
        }
    }

    /** A server that has crashed, whatever it was running. */
    public record CrashedServer(long server, long atMillis) {}

    /** A part on which a server has not crashed. */
    public record SoundPart(long part, long atMillis) {}

    /** Parts that are blocked in requests that contain all of them. */
    public record Accusation(Set<Long> parts, int servers, long lastCrashMillis) {}

    /** A response that has begun. */
    public static final class Response {
        private final long server;
        private final Prompt prompt;
        private final long startMillis;
        private boolean abandoned;

        private Response(long server, Prompt prompt, long startMillis) {
            this.server = server;
            this.prompt = prompt;
            this.startMillis = startMillis;
        }

        /** Called when this host has cancelled the response, which then proves nothing. */
        public void abandon() {
            abandoned = true;
        }
    }

    private record Interruption(long atMillis, List<Response> recentResponses) {}

    /** Records that a server has begun to respond. */
    public Response recordResponseStart(long server, Prompt prompt, long nowMillis) {
        settleResponses(nowMillis);
        Response response = new Response(server, prompt, nowMillis);
        responses.addLast(response);
        if (responses.size() > MAX_RESPONSES) {
            responses.removeFirst();
        }
        return response;
    }

    /**
     * Records that a response of a server was interrupted.
     *
     * @return true if the server had begun a response shortly before, so that it matters whether it has crashed
     */
    public boolean recordInterruption(long server, long nowMillis) {
        settleResponses(nowMillis);
        List<Response> recent = takeResponses(server, nowMillis);
        Interruption known = interruptions.get(server);
        if (known != null && nowMillis - known.atMillis() <= MAX_CRASH_DELAY_MILLIS) {
            known.recentResponses().addAll(recent);
        } else {
            interruptions.put(server, new Interruption(nowMillis, recent));
        }
        return !recent.isEmpty();
    }

    /**
     * Records that a server is down and was not stopped by its operator.
     *
     * @return the number of responses that it had begun shortly before its crash
     */
    public int recordCrash(long server, long nowMillis) {
        Interruption interruption = interruptions.get(server);
        boolean interrupted = interruption != null && nowMillis - interruption.atMillis() <= DETECTION_WINDOW_MILLIS;
        return recordCrash(new CrashedServer(server, interrupted ? interruption.atMillis() : nowMillis), nowMillis);
    }

    /**
     * Records that a server has left the fleet. It has crashed if a response of it was interrupted shortly before;
     * otherwise it may have been stopped by its operator.
     *
     * @return the number of responses that it had begun shortly before its crash
     */
    public int recordLeave(long server, long nowMillis) {
        Interruption interruption = interruptions.get(server);
        return interruption != null && nowMillis - interruption.atMillis() <= DETECTION_WINDOW_MILLIS
                ? recordCrash(server, nowMillis)
                : 0;
    }

    /** Merges the report of another host that a server has crashed. */
    public void mergeCrashedServer(CrashedServer crashed, long nowMillis) {
        if (!crashedServers.containsKey(crashed.server())) {
            int _responses = recordCrash(crashed, nowMillis);
        }
    }

    private int recordCrash(CrashedServer crashed, long nowMillis) {
        settleResponses(nowMillis);
        if (crashedServers.putIfAbsent(crashed.server(), crashed.atMillis()) == null) {
            lastChangeMillis = nowMillis;
        }
        List<Response> recent = takeResponses(crashed.server(), crashed.atMillis());
        Interruption interruption = interruptions.remove(crashed.server());
        if (interruption != null && crashed.atMillis() - interruption.atMillis() <= DETECTION_WINDOW_MILLIS) {
            recent.addAll(interruption.recentResponses());
        }
        recent.stream()
                .filter(response -> !response.abandoned)
                .flatMap(response -> response.prompt.sharedParts().stream()
                        .map(part -> new Crash(part, crashed.server(), response.prompt.request(), crashed.atMillis())))
                .filter(this::counts)
                .forEach(crash -> mergeCrash(crash, nowMillis));
        return recent.size();
    }

    // Removes the responses of a server that is down or may be, and returns those that began shortly before.
    private List<Response> takeResponses(long server, long downMillis) {
        List<Response> ofServer =
                responses.stream().filter(response -> response.server == server).toList();
        responses.removeAll(ofServer);
        return ofServer.stream()
                .filter(response -> !response.abandoned)
                .filter(response -> downMillis - response.startMillis <= MAX_CRASH_DELAY_MILLIS)
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private void settleResponses(long nowMillis) {
        while (!responses.isEmpty() && nowMillis - responses.peekFirst().startMillis >= SOUND_DELAY_MILLIS) {
            Response settled = responses.removeFirst();
            if (!settled.abandoned) {
                settled.prompt
                        .sharedParts()
                        .forEach(part -> mergeSoundPart(new SoundPart(part, settled.startMillis), nowMillis));
            }
        }
    }

    /** Merges a crash reported by another host. */
    public void mergeCrash(Crash crash, long nowMillis) {
        if (nowMillis - crash.atMillis() > RETENTION_MILLIS) {
            return;
        }
        List<Crash> known = crashesByPart.computeIfAbsent(crash.part(), _part -> new ArrayList<>());
        if (known.stream().noneMatch(crash::isSameAs)) {
            if (known.size() >= MAX_CRASHES_PER_PART) {
                known.sort(Comparator.comparingLong(Crash::atMillis));
                known.remove(0);
            }
            known.add(crash);
            accusationsOutdated = true;
            lastChangeMillis = nowMillis;
        }
    }

    /** Merges the report that a part is sound. */
    public void mergeSoundPart(SoundPart sound, long nowMillis) {
        Long known = soundAtMillis.get(sound.part());
        if (known != null && known >= sound.atMillis()) {
            return;
        }
        List<Crash> suspected = crashesByPart.getOrDefault(sound.part(), List.of());
        long countingBefore = suspected.stream().filter(this::counts).count();
        soundAtMillis.put(sound.part(), sound.atMillis());
        if (suspected.stream().filter(this::counts).count() < countingBefore) {
            accusationsOutdated = true;
            lastChangeMillis = nowMillis;
        }
    }

    private boolean counts(Crash crash) {
        Long sound = soundAtMillis.get(crash.part());
        return sound == null || crash.atMillis() - sound > SOUND_RETENTION_MILLIS;
    }

    /** Returns true if a request with a prompt must not be sent to a server. */
    public boolean isBlocked(Prompt prompt, long nowMillis) {
        return accusations(nowMillis).stream()
                .anyMatch(accusation -> prompt.sharedParts().containsAll(accusation.parts()));
    }

    /** Returns the parts that are blocked at present. */
    public List<Accusation> accusations(long nowMillis) {
        prune(nowMillis);
        if (accusationsOutdated) {
            accusationsOutdated = false;
            accusations = findAccusations();
        }
        return accusations.stream()
                .filter(accusation -> nowMillis - accusation.lastCrashMillis() <= QUARANTINE_MILLIS)
                .toList();
    }

    private List<Accusation> findAccusations() {
        Map<Long, List<Crash>> suspects = new TreeMap<>();
        crashesByPart.forEach((part, crashes) ->
                suspects.put(part, crashes.stream().filter(this::counts).toList()));
        List<Accusation> found = new ArrayList<>();
        Set<Long> explained = new HashSet<>();
        Optional<Long> worst = findWorst(suspects, explained);
        while (worst.isPresent()) {
            List<Crash> crashes = suspects.get(worst.get());
            Set<Long> servers = serversOf(crashes);
            Set<Long> parts = suspects.keySet().stream()
                    .filter(part -> 2 * sharedServers(crashes, suspects.get(part)) > servers.size())
                    .collect(Collectors.toSet());
            long lastCrashMillis =
                    crashes.stream().mapToLong(Crash::atMillis).max().orElseThrow();
            found.add(new Accusation(parts, servers.size(), lastCrashMillis));
            explained.addAll(servers);
            worst = findWorst(suspects, explained);
        }
        return List.copyOf(found);
    }

    private static Optional<Long> findWorst(Map<Long, List<Crash>> suspects, Set<Long> explainedServers) {
        return suspects.keySet().stream()
                .filter(part -> isUnderSeveralRequests(suspects.get(part)))
                .filter(part -> unexplained(suspects.get(part), explainedServers) >= BLOCKING_SERVERS)
                .max(Comparator.comparingLong(part -> unexplained(suspects.get(part), explainedServers)));
    }

    // A request that is retried can meet several crashes by chance; many crashes make that unlikely.
    private static boolean isUnderSeveralRequests(List<Crash> crashes) {
        long requests = crashes.stream().map(Crash::request).distinct().count();
        return requests >= BLOCKING_REQUESTS
                || (requests >= MIN_BLOCKING_REQUESTS && serversOf(crashes).size() >= CERTAIN_SERVERS);
    }

    private static long unexplained(List<Crash> crashes, Set<Long> explainedServers) {
        return serversOf(crashes).stream()
                .filter(server -> !explainedServers.contains(server))
                .count();
    }

    // Returns the number of servers that crashed under a request which contains both parts.
    private static long sharedServers(List<Crash> ofPart, List<Crash> ofOther) {
        return ofPart.stream()
                .filter(crash -> ofOther.stream()
                        .anyMatch(other -> other.server() == crash.server() && other.request() == crash.request()))
                .map(Crash::server)
                .distinct()
                .count();
    }

    private static Set<Long> serversOf(List<Crash> crashes) {
        return crashes.stream().map(Crash::server).collect(Collectors.toSet());
    }

    private void prune(long nowMillis) {
        if (nowMillis < nextPruningMillis) {
            return;
        }
        nextPruningMillis = nowMillis + PRUNING_INTERVAL_MILLIS;
        crashesByPart.values().forEach(crashes -> {
            // Crashes of a sound part are kept for a while to tell other hosts that it is sound.
            boolean removed = crashes.removeIf(crash ->
                    nowMillis - crash.atMillis() > (counts(crash) ? RETENTION_MILLIS : SOUND_RETENTION_MILLIS));
            accusationsOutdated |= removed;
        });
        crashesByPart.values().removeIf(Collection::isEmpty);
        crashedServers.values().removeIf(atMillis -> nowMillis - atMillis > DETECTION_WINDOW_MILLIS);
    }

    /** Returns the known crashes, first those of the parts with the most crashes. */
    public List<Crash> crashes(int limit) {
        return crashesByPart.values().stream()
                .sorted(Comparator.<List<Crash>>comparingInt(List::size).reversed())
                .flatMap(List::stream)
                .limit(limit)
                .toList();
    }

    /** Returns the servers that crashed recently. */
    public List<CrashedServer> crashedServers(int limit) {
        return crashedServers.entrySet().stream()
                .map(entry -> new CrashedServer(entry.getKey(), entry.getValue()))
                .limit(limit)
                .toList();
    }

    /** Returns the parts with known crashes that are sound. */
    public List<SoundPart> soundSuspects(int limit) {
        return crashesByPart.entrySet().stream()
                .filter(entry -> entry.getValue().stream().noneMatch(this::counts))
                .map(entry -> new SoundPart(entry.getKey(), soundAtMillis.get(entry.getKey())))
                .limit(limit)
                .toList();
    }

    /** Returns a hash of what is known of crashes on parts; 0 if nothing is. */
    public long fingerprint(long nowMillis) {
        prune(nowMillis);
        return crashesByPart.values().stream()
                .flatMap(List::stream)
                .mapToLong(crash -> StableHash.mix(
                        StableHash.mix(crash.part(), crash.server()),
                        counts(crash) ? crash.request() : ~crash.request()))
                .sum();
    }

    /** Returns the time at which something new was last recorded that other hosts should know. */
    public long lastChangeMillis() {
        return lastChangeMillis;
    }
}
