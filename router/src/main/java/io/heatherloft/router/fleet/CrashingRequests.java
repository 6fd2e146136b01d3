package io.heatherloft.router.fleet;

import io.heatherloft.domain.route.CrashingRequestDetector;
import io.heatherloft.domain.route.CrashingRequestDetector.Answer;
import io.heatherloft.domain.route.CrashingRequestDetector.Crash;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.log.DecisionLog;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What the fleet knows of requests that crash backend servers.
 *
 * <p>Hosts exchange this knowledge by gossip. Confined to the loop's thread.
 */
public final class CrashingRequests {
    // New knowledge is urgent until it has had the time to reach every host.
    private static final long URGENT_MILLIS = 2_000L;

    // Time in which a report reaches every host.
    private static final long SETTLE_MILLIS = 1_000L;

    private final Loop loop;
    private final DecisionLog log;
    private final CrashingRequestDetector detector = new CrashingRequestDetector(SETTLE_MILLIS);
    private Set<Long> blockedBefore = Set.of();

    CrashingRequests(Loop loop, DecisionLog log) {
        this.loop = loop;
        this.log = log;
    }

    /**
     * Knowledge that hosts exchange.
     *
     * @param crashes crashes of servers since the last response to the request that they ran
     * @param answers responses that clear requests of earlier crashes
     */
    public record News(List<Crash> crashes, List<Answer> answers) {}

    /** Returns true if there are no suspects; requests then need no fingerprint. */
    public boolean isEmpty() {
        return detector.isEmpty();
    }

    /** Returns true if a request must not be sent to a further server. */
    public boolean isBlocked(long request) {
        return detector.isBlocked(request, loop.nowMillis());
    }

    /**
     * Records that a run of a request was interrupted, or cancelled by this host.
     *
     * @param sentAtMillis time at which the run was sent
     */
    public void onIncompleteRun(BackendServerState server, long request, long sentAtMillis) {
        detector.recordIncompleteAnswer(request, server.incarnation(), sentAtMillis, loop.nowMillis());
    }

    /** Records that a server is down although it was not to be stopped. */
    public void onServerDown(BackendServerState server) {
        detector.recordServerDown(server.incarnation(), loop.nowMillis());
        logChanges();
    }

    /** Records that a request ran to its end without crashing its server. */
    public void onAnswered(long request) {
        detector.recordAnswered(request, loop.nowMillis());
        logChanges();
    }

    /** Returns true if this host has recently learned something that other hosts must learn soon. */
    public boolean isUrgent() {
        return loop.nowMillis() - detector.lastChangeMillis() <= URGENT_MILLIS;
    }

    /** Returns what other hosts should know; each list has at most {@code limit} elements. */
    public News news(int limit) {
        return new News(
                detector.crashes(loop.nowMillis(), limit),
                detector.answered(loop.nowMillis()).stream().limit(limit).toList());
    }

    /** Adds what another host knows. */
    public void merge(News news) {
        long now = loop.nowMillis();
        news.crashes().forEach(crash -> {
            detector.recordServerDown(crash.server(), now);
            detector.mergeCrash(crash, now);
        });
        news.answers().forEach(answer -> detector.mergeAnswered(answer, now));
        logChanges();
    }

    private void logChanges() {
        Set<Long> blocked = detector.blocked(loop.nowMillis());
        if (blocked.equals(blockedBefore)) {
            return;
        }
        logDifference(blocked, blockedBefore, "blocked");
        logDifference(blockedBefore, blocked, "released");
        blockedBefore = Set.copyOf(blocked);
    }

    private void logDifference(Set<Long> present, Set<Long> absent, String outcome) {
        Set<Long> changed = new HashSet<>(present);
        changed.removeAll(absent);
        changed.forEach(request ->
                log.stateChange("crashing_request", line -> line.with("request_hash", Long.toHexString(request))
                        .with("outcome", outcome)));
    }
}
