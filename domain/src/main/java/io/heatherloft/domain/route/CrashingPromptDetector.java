package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import io.heatherloft.domain.StableHash;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Detects prompt parts on which backend servers crash, and blocks the requests that contain them.
 *
 * <p>A server that crashes soon after it has begun a response accuses the parts of that response's prompt. A server that
 * crashes before it has begun the responses which are awaited from it accuses their parts too; since most of these merely
 * ran on the same server, such crashes count for less, and any response that begins shows that the parts of its prompt do
 * not crash servers before. A server that outlives the beginning of a response shows that the parts of its prompt are sound.
 *
 * <p>Of the accused parts, the one with the most crashes is blocked, and those crashes no longer count against other parts.
 * Parts that mostly crashed servers together cannot be told apart, so only requests that contain all of them are blocked.
 *
 * <p>Each crash counts by the chance that a run met it without having caused it ({@link BackgroundCrashes}), as the host knew it
 * at that time. A part is blocked once its crashes are so unlikely together that no sound part is expected to meet them.
 *
 * <p>Invariants: hosts with the same records block the same requests, in whichever order they received the records; a part is
 * blocked only for crashes of several servers under different requests, and only while it is not known to be sound; crashes
 * of servers that did not run a part never release it; servers that all crash at the same moment block no part; records are
 * bounded in number and age, and those of the parts with the least evidence are dropped first. Confined to one thread.
 */
public final class CrashingPromptDetector {
    /** Time after the last crash during which a part is blocked; then it is tried again. */
    public static final long QUARANTINE_MILLIS = 300_000L;

    // A crash is remembered for longer than the quarantine, so that one more crash blocks the part again.
    private static final long RETENTION_MILLIS = 900_000L;
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
    private static final int MAX_SOUND_PARTS = 4_096;
    private static final int MAX_SERVERS = 256;
    private static final int MAX_CRASHES_PER_PART = 16;
    private static final double PERMILLE = 1_000;
    private static final long NOT_YET = Long.MAX_VALUE;
    private static final long AWAITED_MARK = 0x5bd1e995L;

    private final Map<Long, List<Response>> awaited = new HashMap<>();
    private final Deque<Response> responses = new ArrayDeque<>();
    private final Map<Long, Interruption> interruptions = BoundedMap.withFifoEviction(MAX_SERVERS);
    private final Map<Long, Long> crashedServers = BoundedMap.withFifoEviction(MAX_SERVERS);
    private final BackgroundCrashes backgroundCrashes = new BackgroundCrashes();
    private final Servers servers;
    private final Map<Long, List<Crash>> crashesByPart = new HashMap<>();
    private final Map<Long, Long> soundAtMillis = BoundedMap.withLruEviction(MAX_SOUND_PARTS);
    private final Map<Long, Long> begunAtMillis = BoundedMap.withLruEviction(MAX_SOUND_PARTS);
    private List<Accusation> accusations = List.of();
    private Set<Long> explainedServers = Set.of();
    private boolean accusationsOutdated;
    private long nextPruningMillis = Long.MIN_VALUE;
    private long lastChangeMillis = Long.MIN_VALUE / 2;

    /** What is known of the backend servers of the fleet. */
    public interface Servers {
        /** Returns the hash of the address of a server, which may have left; that of the server itself if it is unknown. */
        long addressOf(long server);

        /** Returns the number of addresses of servers. */
        int addressCount();
    }

    /** Creates a detector without records. */
    public CrashingPromptDetector(Servers servers) {
        this.servers = servers;
    }

    /**
     * The prompt of a request.
     *
     * @param sharedParts hashes of the parts that other requests can share: all but the last
     * @param request hash of the last part, which is the request's or its session's own
     */
    public record Prompt(List<Long> sharedParts, long request) {}

    /**
     * The crash of a server while it ran a request with a part, or soon after it had begun to respond to it.
     *
     * @param part hash of the part
     * @param server hash of the server's incarnation
     * @param request hash that identifies the request
     * @param begun true if the server had begun to respond shortly before
     * @param chancePermille chance, in thousandths, that a run on the server met the crash without having caused it; 0 if no
     *     other crashes tell of one
     */
    public record Crash(long part, long server, long request, long atMillis, boolean begun, int chancePermille) {

        /** Creates the crash of a server that had begun to respond, at a time without other crashes. */
        public Crash(long part, long server, long request, long atMillis) {
            this(part, server, request, atMillis, true, 0);
        }

        // That the server had begun to respond is known to the host alone that awaited the response, and other crashes
        // are known to some hosts before others.
        private Crash mergedInto(Crash known) {
            return new Crash(
                    part,
                    server,
                    request,
                    known.atMillis,
                    begun || known.begun,
                    Math.max(chancePermille, known.chancePermille));
        }

        /** Returns the evidence against the part: the negative logarithm of the chance. */
        double evidence() {
            return -Math.log(Math.max(chancePermille / PERMILLE, BackgroundCrashes.MIN_CHANCE));
        }

        private boolean isSameAs(Crash other) {
            return part == other.part && server == other.server && request == other.request;
        }
    }

    /** A server that has crashed, whatever it was running. */
    public record CrashedServer(long server, long atMillis) {}

    /** A part on which a server has not crashed. */
    public record SoundPart(long part, long atMillis) {}

    /**
     * Parts that are blocked in requests that contain all of them.
     *
     * @param servers number of servers that crashed on them
     * @param evidence negative logarithm of the chance that a sound part meets these crashes
     */
    public record Accusation(Set<Long> parts, int servers, double evidence, long lastCrashMillis) {}

    /**
     * What was running on a server when it crashed.
     *
     * @param begun number of responses that had begun shortly before
     * @param awaited number of responses that had not begun
     * @param accusedParts parts of their prompts that may have crashed the server
     * @param soundParts parts of their prompts that are known to be sound
     * @param chancePermille chance, in thousandths, that a run which did not cause the crash met it; the greatest for any part
     */
    public record Suspicion(int begun, int awaited, Set<Long> accusedParts, Set<Long> soundParts, int chancePermille) {
        private static final Suspicion NONE = new Suspicion(0, 0, Set.of(), Set.of(), 0);

        /** Returns the number of responses. */
        public int responses() {
            return begun + awaited;
        }
    }

    /** A response that is awaited or has begun. */
    public static final class Response {
        private final long server;
        private final Prompt prompt;
        private long firstByteMillis = NOT_YET;
        private long startMillis = NOT_YET;
        private boolean abandoned;

        private Response(long server, Prompt prompt) {
            this.server = server;
            this.prompt = prompt;
        }

        private boolean hasBegunBefore(long crashMillis) {
            return startMillis != NOT_YET
                    || (firstByteMillis != NOT_YET && crashMillis - firstByteMillis <= MAX_CRASH_DELAY_MILLIS);
        }

        /** Called when this host has cancelled the response, which then proves nothing. */
        public void abandon() {
            abandoned = true;
        }
    }

    private record Interruption(long atMillis, List<Response> recentResponses) {}

    /** Records that a request was sent to a server; {@link #endAwaited} must be called when its run has ended. */
    public Response recordSend(long server, Prompt prompt) {
        Response response = new Response(server, prompt);
        awaited.computeIfAbsent(server, _server -> new ArrayList<>()).add(response);
        return response;
    }

    /** Records that the first byte of a response has arrived. */
    public void recordFirstByte(Response response, long nowMillis) {
        response.firstByteMillis = nowMillis;
    }

    /** Records that the head of a response has arrived. */
    public void recordResponseStart(Response response, long nowMillis) {
        endAwaited(response);
        settleResponses(nowMillis);
        response.startMillis = nowMillis;
        response.prompt.sharedParts().forEach(part -> mergeBegunPart(new SoundPart(part, nowMillis), nowMillis));
        responses.addLast(response);
        if (responses.size() > MAX_RESPONSES) {
            responses.removeFirst();
        }
    }

    /**
     * Records that a response is no longer awaited. Has no effect if it has begun, or if its server crashed.
     *
     * @return true if it was awaited
     */
    public boolean endAwaited(Response response) {
        List<Response> ofServer = awaited.get(response.server);
        boolean removed = ofServer != null && ofServer.remove(response);
        if (removed && ofServer.isEmpty()) {
            awaited.remove(response.server);
        }
        return removed;
    }

    /**
     * Records that a run was interrupted.
     *
     * @return true if it matters whether the server has crashed
     */
    public boolean recordInterruption(Response response, long nowMillis) {
        List<Response> interrupted = endAwaited(response) ? List.of(response) : List.of();
        return recordInterruption(response.server, interrupted, nowMillis);
    }

    /**
     * Records that a response of a server was interrupted.
     *
     * @return true if the server had begun a response shortly before, so that it matters whether it has crashed
     */
    public boolean recordInterruption(long server, long nowMillis) {
        return recordInterruption(server, List.of(), nowMillis);
    }

    private boolean recordInterruption(long server, List<Response> interrupted, long nowMillis) {
        settleResponses(nowMillis);
        List<Response> recent = takeResponses(server, nowMillis);
        recent.addAll(interrupted);
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
     * @return what was running on it
     */
    public Suspicion recordCrash(long server, long nowMillis) {
        Interruption interruption = interruptions.get(server);
        boolean interrupted = interruption != null && nowMillis - interruption.atMillis() <= DETECTION_WINDOW_MILLIS;
        return recordCrash(new CrashedServer(server, interrupted ? interruption.atMillis() : nowMillis), nowMillis);
    }

    /**
     * Records that a server has left the fleet. It has crashed if a response of it was interrupted shortly before;
     * otherwise it may have been stopped by its operator.
     *
     * @return what was running on it if it has crashed
     */
    public Suspicion recordLeave(long server, long nowMillis) {
        Interruption interruption = interruptions.get(server);
        return interruption != null && nowMillis - interruption.atMillis() <= DETECTION_WINDOW_MILLIS
                ? recordCrash(server, nowMillis)
                : Suspicion.NONE;
    }

    /** Merges the report of another host that a server has crashed. */
    public void mergeCrashedServer(CrashedServer crashed, long nowMillis) {
        if (!crashedServers.containsKey(crashed.server())) {
            Suspicion _suspicion = recordCrash(crashed, nowMillis);
        }
    }

    private Suspicion recordCrash(CrashedServer crashed, long nowMillis) {
        settleResponses(nowMillis);
        if (crashedServers.putIfAbsent(crashed.server(), crashed.atMillis()) == null) {
            lastChangeMillis = nowMillis;
        }
        backgroundCrashes.record(crashed.server(), servers.addressOf(crashed.server()), crashed.atMillis());
        List<Response> running = takeResponses(crashed.server(), crashed.atMillis());
        Interruption interruption = interruptions.remove(crashed.server());
        if (interruption != null && crashed.atMillis() - interruption.atMillis() <= DETECTION_WINDOW_MILLIS) {
            running.addAll(interruption.recentResponses());
        }
        List<Response> stillAwaited = awaited.remove(crashed.server());
        if (stillAwaited != null) {
            running.addAll(stillAwaited);
        }
        running.removeIf(response -> response.abandoned);
        return accuse(running, crashed, nowMillis);
    }

    private Suspicion accuse(List<Response> running, CrashedServer crashed, long nowMillis) {
        Map<Boolean, Set<Long>> partsByVerdict = Map.of(true, new TreeSet<>(), false, new TreeSet<>());
        Map<Long, Integer> chances = new HashMap<>();
        int begun = 0;
        for (Response response : running) {
            boolean hasBegun = response.hasBegunBefore(crashed.atMillis());
            begun += hasBegun ? 1 : 0;
            for (long part : response.prompt.sharedParts()) {
                boolean accused = isSuspect(part, crashed.atMillis(), hasBegun);
                partsByVerdict.get(accused).add(part);
                if (accused) {
                    int chance = chances.computeIfAbsent(part, _part -> chancePermille(part, crashed));
                    mergeCrash(
                            new Crash(
                                    part,
                                    crashed.server(),
                                    response.prompt.request(),
                                    crashed.atMillis(),
                                    hasBegun,
                                    chance),
                            nowMillis);
                }
            }
        }
        return new Suspicion(
                begun,
                running.size() - begun,
                partsByVerdict.get(true),
                partsByVerdict.get(false),
                chances.values().stream().mapToInt(Integer::intValue).max().orElse(0));
    }

    // The crashes of which a part is accused, or another part is found guilty, are no sign of further causes.
    private int chancePermille(long part, CrashedServer crashed) {
        Set<Long> explained = CrashEvidence.serversOf(crashesByPart.getOrDefault(part, List.of()));
        explained.addAll(explainedServers);
        double chance = backgroundCrashes.chance(
                servers.addressOf(crashed.server()), crashed.atMillis(), explained::contains, servers.addressCount());
        return chance > BackgroundCrashes.MIN_CHANCE ? (int) Math.round(PERMILLE * chance) : 0;
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
        Optional<Crash> same = known.stream().filter(crash::isSameAs).findFirst();
        Crash merged = same.map(crash::mergedInto).orElse(crash);
        if (same.filter(merged::equals).isPresent()) {
            return;
        }
        same.ifPresent(known::remove);
        known.add(merged);
        if (known.size() > MAX_CRASHES_PER_PART) {
            removeLeastDistinct(known);
        }
        if (crashesByPart.size() > CrashEvidence.MAX_PARTS) {
            removeLeastAccused();
        }
        accusationsOutdated = true;
        lastChangeMillis = nowMillis;
    }

    // A part that is blocked meets no more crashes, so the one with the oldest crash is not the least important.
    private void removeLeastAccused() {
        crashesByPart.entrySet().stream()
                .min(Comparator.comparingDouble((Map.Entry<Long, List<Crash>> entry) -> CrashEvidence.sum(
                                entry.getValue().stream().filter(this::counts).toList()))
                        .thenComparingLong(entry -> lastCrashMillis(entry.getValue()))
                        .thenComparingLong(Map.Entry::getKey))
                .map(Map.Entry::getKey)
                .ifPresent(crashesByPart::remove);
    }

    private static long lastCrashMillis(List<Crash> crashes) {
        return crashes.stream().mapToLong(Crash::atMillis).max().orElse(Long.MIN_VALUE);
    }

    // Of the two crashes that are closest in time the later one is removed, so that the others still tell several
    // moments.
    private static void removeLeastDistinct(List<Crash> crashes) {
        crashes.sort(Comparator.comparingLong(Crash::atMillis));
        int removed = IntStream.range(1, crashes.size() - 1)
                .boxed()
                .min(Comparator.comparingLong(index ->
                        crashes.get(index).atMillis() - crashes.get(index - 1).atMillis()))
                .orElse(0);
        crashes.remove(removed);
    }

    /** Merges the report that a part is sound. */
    public void mergeSoundPart(SoundPart sound, long nowMillis) {
        mergeTime(soundAtMillis, sound, nowMillis);
    }

    /** Merges the report that a response to a prompt with a part has begun. */
    public void mergeBegunPart(SoundPart begun, long nowMillis) {
        mergeTime(begunAtMillis, begun, nowMillis);
    }

    private void mergeTime(Map<Long, Long> times, SoundPart part, long nowMillis) {
        Long known = times.get(part.part());
        if (known != null && known >= part.atMillis()) {
            return;
        }
        List<Crash> suspected = crashesByPart.getOrDefault(part.part(), List.of());
        long countingBefore = suspected.stream().filter(this::counts).count();
        times.put(part.part(), part.atMillis());
        if (suspected.stream().filter(this::counts).count() < countingBefore) {
            accusationsOutdated = true;
            lastChangeMillis = nowMillis;
        }
    }

    private boolean counts(Crash crash) {
        return isSuspect(crash.part(), crash.atMillis(), crash.begun());
    }

    private boolean isSuspect(long part, long crashMillis, boolean begun) {
        return isUnproven(crashMillis, soundAtMillis.get(part))
                && (begun || isUnproven(crashMillis, begunAtMillis.get(part)));
    }

    private static boolean isUnproven(long crashMillis, Long provenMillis) {
        return provenMillis == null || crashMillis - provenMillis > SOUND_RETENTION_MILLIS;
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
            findAccusations();
        }
        return accusations.stream()
                .filter(accusation -> nowMillis - accusation.lastCrashMillis() <= QUARANTINE_MILLIS)
                .toList();
    }

    private void findAccusations() {
        Map<Long, List<Crash>> suspects = new TreeMap<>();
        crashesByPart.forEach((part, crashes) ->
                suspects.put(part, crashes.stream().filter(this::counts).toList()));
        List<Accusation> found = new ArrayList<>();
        Set<Long> explained = new HashSet<>();
        Optional<Long> worst = findWorst(suspects, explained);
        while (worst.isPresent()) {
            List<Crash> crashes = suspects.get(worst.get());
            Set<Long> crashedOnPart = CrashEvidence.serversOf(crashes);
            Set<Long> parts = suspects.keySet().stream()
                    .filter(part -> 2 * CrashEvidence.sharedServers(crashes, suspects.get(part)) > crashedOnPart.size())
                    .collect(Collectors.toSet());
            found.add(
                    new Accusation(parts, crashedOnPart.size(), CrashEvidence.sum(crashes), lastCrashMillis(crashes)));
            explained.addAll(crashedOnPart);
            worst = findWorst(suspects, explained);
        }
        accusations = List.copyOf(found);
        explainedServers = Set.copyOf(explained);
    }

    private static Optional<Long> findWorst(Map<Long, List<Crash>> suspects, Set<Long> explained) {
        return suspects.keySet().stream()
                .filter(part -> CrashEvidence.isConvicted(suspects.get(part), explained))
                .max(Comparator.comparingLong(part -> CrashEvidence.unexplainedServers(suspects.get(part), explained)));
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
        backgroundCrashes.prune(nowMillis);
    }

    /** Returns the known crashes, first those of the parts with the most crashes that may be due to them. */
    public List<Crash> crashes(int limit) {
        return crashesByPart.values().stream()
                .sorted(Comparator.comparingLong(this::countingCrashes)
                        .thenComparingInt(List::size)
                        .reversed())
                .flatMap(List::stream)
                .limit(limit)
                .toList();
    }

    private long countingCrashes(List<Crash> crashes) {
        return crashes.stream().filter(this::counts).count();
    }

    /** Returns the servers that crashed recently. */
    public List<CrashedServer> crashedServers(int limit) {
        return crashedServers.entrySet().stream()
                .map(entry -> new CrashedServer(entry.getKey(), entry.getValue()))
                .limit(limit)
                .toList();
    }

    /** Returns the parts that were sound around known crashes. */
    public List<SoundPart> soundSuspects(int limit) {
        return suspectsIn(soundAtMillis, limit);
    }

    /** Returns the parts to which a response had begun around known crashes. */
    public List<SoundPart> begunSuspects(int limit) {
        return suspectsIn(begunAtMillis, limit);
    }

    private List<SoundPart> suspectsIn(Map<Long, Long> times, int limit) {
        return crashesByPart.entrySet().stream()
                .filter(entry -> entry.getValue().stream()
                        .anyMatch(crash -> !isUnproven(crash.atMillis(), times.get(crash.part()))))
                .map(entry -> new SoundPart(entry.getKey(), times.get(entry.getKey())))
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
                        (counts(crash) ? crash.request() : ~crash.request())
                                ^ (crash.begun() ? 0 : AWAITED_MARK)
                                ^ ((long) crash.chancePermille() << Integer.SIZE)))
                .sum();
    }

    /** Returns the time at which something new was last recorded that other hosts should know. */
    public long lastChangeMillis() {
        return lastChangeMillis;
    }
}
