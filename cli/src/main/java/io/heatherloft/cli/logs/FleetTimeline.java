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
 * What a fleet's hosts knew, and since when.
 *
 * <p>A change is told once, with the hosts that learned of it; a host that runs and never did disagrees with the others.
 * Invariant: memory grows with the changes and the hosts, not with the lines. Confined to one thread.
 */
public final class FleetTimeline {
    // What every host learns; other lines tell what one host did or decided.
    private static final Set<String> FLEET_EVENTS =
            Set.of("configuration", "backend_server", "rollout_order", "rollout_state");

    private final Map<String, Change> changes = new LinkedHashMap<>();
    private final Map<String, Long> lastLineMillis = new HashMap<>();
    private final Map<String, Long> firstLineMillis = new HashMap<>();

    /**
     * A change of what hosts know, or an event of one host.
     *
     * @param line the first host's line
     * @param learnedMillis time at which each host learned of it, on that host's clock
     */
    public record Change(LogLine line, Map<String, Long> learnedMillis) {
        /** Returns the time from the first host that learned of it to the last, in milliseconds. */
        public long propagationMillis() {
            Collection<Long> times = learnedMillis.values();
            return times.stream().mapToLong(time -> time).max().orElse(0)
                    - times.stream().mapToLong(time -> time).min().orElse(0);
        }

        /** Returns the time of the first host that learned of it. */
        public long firstMillis() {
            return learnedMillis.values().stream().mapToLong(time -> time).min().orElse(line.timeMillis());
        }
    }

    /** Takes the next line. */
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

    /** Returns the changes in the order in which the first hosts learned of them. */
    public List<Change> changes() {
        return changes.values().stream()
                .sorted(Comparator.comparingLong(Change::firstMillis))
                .toList();
    }

    /** Returns the hosts that wrote lines before and after a change of the fleet and none about it. */
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
