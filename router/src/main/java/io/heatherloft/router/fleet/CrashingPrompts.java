package io.heatherloft.router.fleet;

import io.heatherloft.domain.BoundedMap;
import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.CrashRecord;
import io.heatherloft.domain.route.CrashingPromptDetector;
import io.heatherloft.domain.route.CrashingPromptDetector.Accusation;
import io.heatherloft.domain.route.CrashingPromptDetector.Crash;
import io.heatherloft.domain.route.CrashingPromptDetector.CrashedServer;
import io.heatherloft.domain.route.CrashingPromptDetector.Prompt;
import io.heatherloft.domain.route.CrashingPromptDetector.Response;
import io.heatherloft.domain.route.CrashingPromptDetector.SoundPart;
import io.heatherloft.domain.route.CrashingPromptDetector.Suspicion;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.log.DecisionLog;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

/**
 * What the fleet knows of prompt parts on which backend servers crash.
 *
 * <p>Hosts exchange this knowledge by gossip. Confined to the loop's thread.
 */
public final class CrashingPrompts {
    // New knowledge is urgent until it has had the time to reach every host.
    private static final long URGENT_MILLIS = 2_000L;
    private static final int MAX_RECORDED_CRASHES = 64;
    private static final int MAX_LOGGED_PARTS = 16;
    private static final double PERMILLE = 1_000;
    private static final double TENTHS = 10;
    private static final int MAX_ADDRESSES = 4_096;

    private final Loop loop;
    private final DecisionLog log;
    private final CrashingPromptDetector detector;
    // Addresses by the server's incarnation, also of servers that have left.
    private final Map<Long, Long> addresses = BoundedMap.withFifoEviction(MAX_ADDRESSES);
    private final Set<String> recorded = new HashSet<>();
    private Set<Set<Long>> blockedParts = Set.of();

    CrashingPrompts(Loop loop, DecisionLog log, IntSupplier addressCount) {
        this.loop = loop;
        this.log = log;
        this.detector = new CrashingPromptDetector(new CrashingPromptDetector.Servers() {
            @Override
            public long addressOf(long server) {
                return addresses.getOrDefault(server, server);
            }

            @Override
            public int addressCount() {
                return addressCount.getAsInt();
            }
        });
    }

    /** Called when a server has started, or is known for the first time. */
    void onStart(BackendServerState server) {
        addresses.put(server.incarnationHash(), StableHash.of(server.entry().address()));
    }

    /**
     * Knowledge that hosts exchange.
     *
     * @param crashes crashes of servers on prompt parts
     * @param servers servers that crashed recently, whatever they were running
     * @param soundParts parts that other hosts may suspect and that are sound
     * @param begunParts parts that other hosts may suspect and to which a response has begun
     */
    public record News(
            List<Crash> crashes, List<CrashedServer> servers, List<SoundPart> soundParts, List<SoundPart> begunParts) {}

    /** Returns true if a request must not be sent to a server because of its prompt. */
    public boolean isBlocked(Prompt prompt) {
        return detector.isBlocked(prompt, loop.nowMillis());
    }

    /** Records that a request was sent to a server; {@link #onEnd} must be called when its run has ended. */
    public Response onSend(BackendServerState server, Prompt prompt) {
        return detector.recordSend(server.incarnationHash(), prompt);
    }

    /** Records that the first byte of a response has arrived. */
    public void onFirstByte(Response response) {
        detector.recordFirstByte(response, loop.nowMillis());
    }

    /** Records that the head of a response has arrived. */
    public void onResponseStart(Response response) {
        detector.recordResponseStart(response, loop.nowMillis());
    }

    /** Records that a run has ended, other than by an interruption. */
    public void onEnd(Response response) {
        boolean _awaited = detector.endAwaited(response);
    }

    /**
     * Records that a run was interrupted.
     *
     * @return true if it should be checked whether the server has crashed
     */
    public boolean onInterruption(Response response) {
        return detector.recordInterruption(response, loop.nowMillis());
    }

    /**
     * Records that a response was interrupted.
     *
     * @return true if it should be checked whether the server has crashed
     */
    public boolean onInterruption(BackendServerState server) {
        return detector.recordInterruption(server.incarnationHash(), loop.nowMillis());
    }

    /** Records that a server refuses connections although it was not to be stopped. */
    public void onCrash(BackendServerState server) {
        logCrash(server, detector.recordCrash(server.incarnationHash(), loop.nowMillis()));
    }

    /** Records that a server was removed from the store, or replaced, without having been drained. */
    void onLeave(BackendServerState server) {
        logCrash(server, detector.recordLeave(server.incarnationHash(), loop.nowMillis()));
    }

    private void logCrash(BackendServerState server, Suspicion suspicion) {
        if (suspicion.responses() > 0) {
            log.stateChange("server_crash", line -> line.with(
                            "backend_id", server.entry().id())
                    .with("recent_responses", suspicion.begun())
                    .with("awaited_responses", suspicion.awaited())
                    .with("accused_parts", namesOf(suspicion.accusedParts()))
                    .with("sound_parts", namesOf(suspicion.soundParts()))
                    .with("background_chance", suspicion.chancePermille() / PERMILLE)
                    .with("outcome", "prompts_suspected"));
        }
        logChanges();
    }

    private static String namesOf(Set<Long> parts) {
        return parts.stream().limit(MAX_LOGGED_PARTS).map(Long::toHexString).collect(Collectors.joining("."));
    }

    /** Returns true if this host has recently learned something that other hosts must learn soon. */
    public boolean isUrgent() {
        return loop.nowMillis() - detector.lastChangeMillis() <= URGENT_MILLIS;
    }

    /** Returns a hash by which two hosts find out whether they know the same; 0 if nothing is known. */
    public long fingerprint() {
        return detector.fingerprint(loop.nowMillis());
    }

    /** Returns what other hosts should know; each list has at most {@code limit} elements. */
    public News news(int limit) {
        return new News(
                detector.crashes(limit),
                detector.crashedServers(limit),
                detector.soundSuspects(limit),
                detector.begunSuspects(limit));
    }

    /** Adds what another host knows. */
    public void merge(News news) {
        long now = loop.nowMillis();
        news.soundParts().forEach(part -> detector.mergeSoundPart(part, now));
        news.begunParts().forEach(part -> detector.mergeBegunPart(part, now));
        news.servers().forEach(server -> detector.mergeCrashedServer(server, now));
        news.crashes().forEach(crash -> detector.mergeCrash(crash, now));
        logChanges();
    }

    /** Returns the record of parts that are blocked and not recorded in the store. */
    Optional<CrashRecord> unrecorded() {
        return detector.accusations(loop.nowMillis()).stream()
                .map(Accusation::parts)
                .filter(parts -> !recorded.contains(CrashRecord.nameOf(parts)))
                .findFirst()
                .map(parts -> new CrashRecord(
                        CrashRecord.nameOf(parts),
                        detector.crashes(MAX_RECORDED_CRASHES).stream()
                                .filter(crash -> parts.contains(crash.part()))
                                .toList()));
    }

    /** Called with a record from the store. */
    void onRecord(CrashRecord crashRecord) {
        recorded.add(crashRecord.name());
        crashRecord.crashes().forEach(crash -> detector.mergeCrash(crash, loop.nowMillis()));
        logChanges();
    }

    /** Called when a record has been removed from the store. */
    void onRecordRemoved(String name) {
        recorded.remove(name);
    }

    private void logChanges() {
        List<Accusation> accusations = detector.accusations(loop.nowMillis());
        Set<Set<Long>> before = blockedParts;
        blockedParts = accusations.stream().map(Accusation::parts).collect(Collectors.toSet());
        accusations.stream()
                .filter(accusation -> !before.contains(accusation.parts()))
                .forEach(accusation -> log.stateChange(
                        "prompt_parts", line -> line.with("parts", CrashRecord.nameOf(accusation.parts()))
                                .with("servers_crashed", accusation.servers())
                                .with("evidence", Math.round(accusation.evidence() * TENTHS) / TENTHS)
                                .with("outcome", "blocked")));
        Set<Set<Long>> released = new HashSet<>(before);
        released.removeAll(blockedParts);
        released.forEach(parts -> log.stateChange("prompt_parts", line -> line.with("parts", CrashRecord.nameOf(parts))
                .with("outcome", "released")));
    }
}
