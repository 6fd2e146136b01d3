package io.heatherloft.cli.logs;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The changes that hosts logged, and when each host learned of them.
 *
 * <p>A change is listed once, with all hosts that learned of it. A running host that did not learn of it has a view of
 * the fleet that differs from that of the other hosts.
 *
 * <p>Invariant: memory grows with the changes and the hosts, not with the lines. Confined to one thread.
 */
public final class FleetTimeline {
    // Events that every host learns of; all others concern only the host that logged them.
    private static final Set<String> FLEET_EVENTS =
            Set.of("configuration", "backend_server", "rollout_order", "rollout_state");

    private final Map<String, Change> changes = new LinkedHashMap<>();
    private final Map<String, Long> lastLineMillis = new HashMap<>();
    private final Map<String, Long> firstLineMillis = new HashMap<>();

    /**
     * A change to the state of the fleet that hosts learn of, or an event of one host.
     *
     * @param line first line read about the change
     * @param learnedMillis time at which each host learned of the change, on the clock of that host, by host
     */
    public record Change(LogLine line, Map<String, Long> learnedMillis) {
        /** Returns the time between the first and the last host that learned of the change, in milliseconds. */
        public long propagationMillis() {
            Collection<Long> times = learnedMillis.values();
            return times.stream().mapToLong(time -> time).max().orElse(0)
                    - times.stream().mapToLong(time -> time).min().orElse(0);
        }

        /** Returns the time at which the first host learned of the change. */
        public long firstMillis() {
            return learnedMillis.values().stream().mapToLong(time -> time).min().orElse(line.timeMillis());
        }
    }

    /** Processes the next log line. */
    public void accept(LogLine line) {
        firstLineMillis.merge(line.host(), line.timeMillis(), Math::min);
        lastLineMillis.merge(line.host(), line.timeMillis(), Math::max);
        if (!line.kind().equals("lifecycle") && !line.kind().equals("belief")) {
            return;
        }
        String key = isFleetWide(line)
                ? line.subject() + ' ' + line.text("revision") + ' ' + line.text("outcome")
                : line.host() + ' ' + line.timeMillis() + ' ' + line.subject();
        changes.computeIfAbsent(key, _key -> new Change(line, new TreeMap<>()))
                .learnedMillis()
                .merge(line.host(), line.timeMillis(), Math::min);
    }

    private static boolean isFleetWide(LogLine line) {
        return FLEET_EVENTS.contains(line.event()) && line.fields().has("revision");
    }

    /** Returns the changes, ordered by the time at which the first host learned of them. */
    public List<Change> changes() {
        return changes.values().stream()
                .sorted(Comparator.comparingLong(Change::firstMillis))
                .toList();
    }

    /**
     * Returns the hosts that did not learn of a fleet-wide change although they were running, as their log lines before
     * and after it show.
     */
    public Set<String> unawareHosts(Change change) {
        Set<String> hosts = new TreeSet<>();
        if (isFleetWide(change.line())) {
            lastLineMillis.keySet().stream()
                    .filter(host -> !change.learnedMillis().containsKey(host))
                    .filter(host -> firstLineMillis.get(host) < change.firstMillis())
                    .filter(host -> lastLineMillis.get(host) > change.firstMillis() + change.propagationMillis())
                    .forEach(hosts::add);
        }
        return hosts;
    }
}
