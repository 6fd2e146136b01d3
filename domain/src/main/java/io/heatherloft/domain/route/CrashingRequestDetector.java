package io.heatherloft.domain.route;

import io.heatherloft.domain.BoundedMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Detects requests that crash the backend servers on which they run, and blocks them.
 *
 * <p>A request whose run ended without a complete response becomes a suspect when its server is found to be down. Requests
 * that merely ran on the same server become suspects too. They are told apart in two ways: a complete response to a request
 * clears it of the crashes before the response, and a crash for which one request is blocked no longer counts against the
 * others. Two requests that were on all the same servers cannot be told apart, so neither is blocked before it has more
 * crashes than usual. A crash counts once the other hosts have had the time to report what else ran on the server.
 *
 * <p>Invariants: a request is blocked only while crashes of three servers since its last response are recorded for it, of which
 * those that end several of its runs at the same moment count once; hosts with the same records block the same requests; records are bounded in number and age, and those with the fewest crashes are
 * dropped first. Confined to one thread.
 */
public final class CrashingRequestDetector {
    /** Time after the last crash during which a request is blocked; then it is tried again. */
    public static final long QUARANTINE_MILLIS = 300_000L;

    // A crash is remembered for longer than the quarantine, so that one more crash blocks the request again.
    private static final long RETENTION_MILLIS = 900_000L;
    // The platform's rules allow a request to crash three servers before it must be detected.
    private static final int BLOCKING_CRASHES = 3;
    // With this number of crashes a request is blocked although others were on the same servers.
    private static final int CERTAIN_CRASHES = 5;
    // Servers that crash within this time of each other are likely to have one cause, such as a loss of power.
    private static final long SIMULTANEOUS_MILLIS = 100L;
    // Maximum time until the crash of a server is detected: three missed heartbeats and a call to the store.
    private static final long DETECTION_WINDOW_MILLIS = 6_000L;
    // Responses older than this need no longer be told to other hosts.
    private static final long ANSWER_REPORT_MILLIS = 60_000L;
    private static final long EVALUATION_INTERVAL_MILLIS = 200L;
    private static final int MAX_SERVERS = 256;
    private static final int MAX_RUNS_PER_SERVER = 256;
    private static final int MAX_SUSPECTS = 1_024;
    private static final int KEPT_SUSPECTS = 768;
    private static final int MAX_CRASHES_PER_SUSPECT = 16;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long settleMillis;
    private final Map<String, List<IncompleteRun>> incompleteByServer = BoundedMap.withFifoEviction(MAX_SERVERS);
    private final Map<String, Long> downAtMillis = BoundedMap.withFifoEviction(MAX_SERVERS);
    private final Map<Long, Suspect> suspects = new HashMap<>();
    private Set<Long> blocked = Set.of();
    private boolean blockedOutdated;
    private long evaluatedMillis = NEVER;
    private long lastChangeMillis = NEVER;

    /**
     * Creates a detector without records.
     *
     * @param settleMillis time from a crash to the arrival of the last reports of it from other hosts
     */
    public CrashingRequestDetector(long settleMillis) {
        this.settleMillis = settleMillis;
    }

    /**
     * The crash of a server while it ran a request.
     *
     * @param startedMillis time at which the run was sent; that of its end if it is unknown
     * @param atMillis time at which the run ended
     */
    public record Crash(long request, String server, long startedMillis, long atMillis) {
        /** Creates the crash of a server whose run started at an unknown time. */
        public Crash(long request, String server, long atMillis) {
            this(request, server, atMillis, atMillis);
        }
    }

    /** A complete response to a request. */
    public record Answer(long request, long atMillis) {}

    private record RecordedCrash(long startedMillis, long atMillis, long recordedMillis) {}

    private record IncompleteRun(long request, long startedMillis, long atMillis) {}

    private static final class Suspect {
        private final Map<String, RecordedCrash> crashes = BoundedMap.withFifoEviction(MAX_CRASHES_PER_SUSPECT);
        private long answeredMillis = NEVER;

        // Crashes since the last response by server, as far as they were recorded by a time.
        private Map<String, RecordedCrash> unansweredCrashes(long recordedByMillis) {
            return crashes.entrySet().stream()
                    .filter(crash -> crash.getValue().atMillis() > answeredMillis
                            && crash.getValue().recordedMillis() <= recordedByMillis)
                    .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        }

        private Set<String> unansweredCrashes() {
            return unansweredCrashes(Long.MAX_VALUE).keySet();
        }

        private long lastCrashMillis() {
            return crashes.values().stream()
                    .mapToLong(RecordedCrash::atMillis)
                    .max()
                    .orElse(NEVER);
        }
    }

    // Crashes since the last response to a request.
    private record Accusation(
            long request, Set<String> servers, Map<String, RecordedCrash> settled, long lastCrashMillis) {
        // Runs that were in progress together when their servers crashed at the same moment have one cause, which need
        // not be the request. A run that was sent after a crash tells of its own.
        private int independentCrashes(Set<String> explainedServers) {
            int count = 0;
            long momentMillis = NEVER;
            for (RecordedCrash crash : settled.entrySet().stream()
                    .filter(crash -> !explainedServers.contains(crash.getKey()))
                    .map(Map.Entry::getValue)
                    .sorted(Comparator.comparingLong(RecordedCrash::atMillis)
                            .thenComparingLong(RecordedCrash::startedMillis))
                    .toList()) {
                if (crash.atMillis() - momentMillis > SIMULTANEOUS_MILLIS || crash.startedMillis() >= momentMillis) {
                    count++;
                    momentMillis = crash.atMillis();
                }
            }
            return count;
        }
    }

    /**
     * Records that a run of a request ended without a complete response, because the connection was lost or because this host
     * cancelled it.
     *
     * @param startedMillis time at which the run was sent
     */
    public void recordIncompleteAnswer(long request, String server, long startedMillis, long nowMillis) {
        Long down = downAtMillis.get(server);
        if (down != null && nowMillis - down <= DETECTION_WINDOW_MILLIS) {
            mergeCrash(new Crash(request, server, startedMillis, nowMillis), nowMillis);
            return;
        }
        List<IncompleteRun> onServer = incompleteByServer.computeIfAbsent(server, _server -> new ArrayList<>());
        onServer.removeIf(run -> nowMillis - run.atMillis() > DETECTION_WINDOW_MILLIS);
        if (onServer.size() < MAX_RUNS_PER_SERVER) {
            onServer.add(new IncompleteRun(request, startedMillis, nowMillis));
        }
    }

    /**
     * Records that a server refused a connection, restarted or disappeared; its recent incomplete runs are then counted as
     * crashes.
     */
    public void recordServerDown(String server, long nowMillis) {
        downAtMillis.putIfAbsent(server, nowMillis);
        List<IncompleteRun> onServer = incompleteByServer.remove(server);
        if (onServer != null) {
            onServer.stream()
                    .filter(run -> nowMillis - run.atMillis() <= DETECTION_WINDOW_MILLIS)
                    .forEach(run -> mergeCrash(
                            new Crash(run.request(), server, run.startedMillis(), run.atMillis()), nowMillis));
        }
    }

    /**
     * Records a response that shows that a request ran to its end without crashing its server, which clears the request of the
     * crashes before.
     */
    public void recordAnswered(long request, long nowMillis) {
        mergeAnswered(new Answer(request, nowMillis), nowMillis);
    }

    /** Merges a crash that another host reported. */
    public void mergeCrash(Crash crash, long nowMillis) {
        if (nowMillis - crash.atMillis() > RETENTION_MILLIS) {
            return;
        }
        if (!suspects.containsKey(crash.request()) && suspects.size() >= MAX_SUSPECTS) {
            dropLeastSuspects(nowMillis);
        }
        Suspect suspect = suspects.computeIfAbsent(crash.request(), _request -> new Suspect());
        if (suspect.crashes.putIfAbsent(
                        crash.server(), new RecordedCrash(crash.startedMillis(), crash.atMillis(), nowMillis))
                == null) {
            onChange(nowMillis);
        }
    }

    // Drops many at once, because the end of a busy server adds many.
    private void dropLeastSuspects(long nowMillis) {
        Set<Long> kept = accusations(nowMillis).stream()
                .limit(KEPT_SUSPECTS)
                .map(Accusation::request)
                .collect(Collectors.toSet());
        suspects.keySet().retainAll(kept);
    }

    /** Merges the report of another host that a request was answered; ignored if the request is not a suspect. */
    public void mergeAnswered(Answer answer, long nowMillis) {
        Suspect suspect = suspects.get(answer.request());
        if (suspect != null && answer.atMillis() > suspect.answeredMillis) {
            boolean cleared = !suspect.unansweredCrashes().isEmpty();
            suspect.answeredMillis = answer.atMillis();
            if (cleared) {
                onChange(nowMillis);
            }
        }
    }

    private void onChange(long nowMillis) {
        lastChangeMillis = nowMillis;
        blockedOutdated = true;
    }

    /** Returns true if there are no suspects; requests then need no fingerprint. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns true if a request must not be sent to a further server. */
    public boolean isBlocked(long request, long nowMillis) {
        return blocked(nowMillis).contains(request);
    }

    /** Returns all requests that must not be sent to a further server. */
    public Set<Long> blocked(long nowMillis) {
        if (blockedOutdated || nowMillis - evaluatedMillis >= EVALUATION_INTERVAL_MILLIS) {
            suspects.values().removeIf(suspect -> nowMillis - suspect.lastCrashMillis() > RETENTION_MILLIS);
            blocked = evaluate(nowMillis);
            blockedOutdated = false;
            evaluatedMillis = nowMillis;
        }
        return blocked;
    }

    private Set<Long> evaluate(long nowMillis) {
        List<Accusation> accusations = accusations(nowMillis);
        Set<String> explained = new HashSet<>();
        Set<Long> culprits = new HashSet<>();
        accusations.stream()
                .filter(accusation -> accusation.independentCrashes(Set.of()) >= BLOCKING_CRASHES)
                .filter(accusation -> nowMillis - accusation.lastCrashMillis() <= QUARANTINE_MILLIS)
                .forEach(accusation -> {
                    boolean distinct = accusation.independentCrashes(explained) >= BLOCKING_CRASHES
                            && !isShared(accusation, accusations);
                    if (distinct || accusation.independentCrashes(Set.of()) >= CERTAIN_CRASHES) {
                        explained.addAll(accusation.servers());
                        culprits.add(accusation.request());
                    }
                });
        return culprits;
    }

    // Those with the most crashes come first.
    private List<Accusation> accusations(long nowMillis) {
        return suspects.entrySet().stream()
                .map(entry -> new Accusation(
                        entry.getKey(),
                        entry.getValue().unansweredCrashes(),
                        entry.getValue().unansweredCrashes(nowMillis - settleMillis),
                        entry.getValue().lastCrashMillis()))
                .filter(accusation -> !accusation.servers().isEmpty())
                .sorted(Comparator.comparingInt(
                                (Accusation accusation) -> accusation.servers().size())
                        .thenComparingLong(Accusation::lastCrashMillis)
                        .reversed()
                        .thenComparingLong(Accusation::request))
                .toList();
    }

    private static boolean isShared(Accusation accusation, List<Accusation> accusations) {
        return accusations.stream()
                .filter(other -> other.request() != accusation.request())
                .anyMatch(other -> other.servers().containsAll(accusation.servers()));
    }

    /**
     * Returns up to {@code limit} crashes since the last response to their requests, to be reported to other hosts; those of
     * the requests with the most crashes come first, then the newest.
     */
    public List<Crash> crashes(long nowMillis, int limit) {
        return accusations(nowMillis).stream()
                .flatMap(accusation -> accusation.servers().stream().map(server -> {
                    RecordedCrash crash =
                            suspects.get(accusation.request()).crashes.get(server);
                    return new Crash(accusation.request(), server, crash.startedMillis(), crash.atMillis());
                }))
                .filter(crash -> nowMillis - crash.atMillis() <= RETENTION_MILLIS)
                .limit(limit)
                .toList();
    }

    /** Returns the requests that were cleared by a response, the newest first, to be reported to other hosts. */
    public List<Answer> answered(long nowMillis) {
        return suspects.entrySet().stream()
                .map(entry -> new Answer(entry.getKey(), entry.getValue().answeredMillis))
                .filter(answer -> nowMillis - answer.atMillis() <= ANSWER_REPORT_MILLIS)
                .sorted(Comparator.comparingLong(Answer::atMillis).reversed())
                .toList();
    }

    /** Returns the time of the last change that other hosts must learn soon. */
    public long lastChangeMillis() {
        return lastChangeMillis;
    }
}
