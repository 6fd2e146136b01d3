package io.heatherloft.router.peers;

import io.heatherloft.peer.generated.HostReport;
import io.heatherloft.ports.loop.Loop;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The newest report of each other host.
 *
 * <p>Invariant: of two reports of a host the one of the later incarnation, then the one with the higher sequence number,
 * stays. Confined to the loop's thread.
 */
public final class HostReports {
    // Age up to which a host counts as alive; several rounds.
    private static final long MAX_ALIVE_AGE_MILLIS = 3_000L;
    // Age up to which a host's load still says something.
    private static final long MAX_LOAD_AGE_MILLIS = 1_500L;
    // Age up to which a host is still tried.
    private static final long MAX_KNOWN_AGE_MILLIS = 60_000L;

    private final Loop loop;
    private final String self;
    private final Map<String, ReceivedReport> byHost = new HashMap<>();

    /** Creates an empty collection for a host. */
    public HostReports(Loop loop, String self) {
        this.loop = loop;
        this.self = self;
    }

    /** Takes a report; returns false if it was known or is this host's own. */
    boolean add(HostReport report) {
        ReceivedReport known = byHost.get(report.getHost());
        boolean news = !report.getHost().equals(self)
                && (known == null
                        || report.getIncarnation() > known.report().getIncarnation()
                        || (report.getIncarnation() == known.report().getIncarnation()
                                && report.getSequence() > known.report().getSequence()));
        if (news) {
            byHost.put(report.getHost(), new ReceivedReport(report, loop.nowMillis() - report.getAgeMillis()));
        }
        return news;
    }

    /** Returns the newest reports, with their present age. */
    List<HostReport> newest(int limit) {
        return byHost.values().stream()
                .sorted(Comparator.comparingLong(ReceivedReport::createdAtMillis).reversed())
                .limit(limit)
                .map(received -> received.report().toBuilder()
                        .setAgeMillis((int) ageOf(received))
                        .build())
                .toList();
    }

    /** Returns the hosts that reported lately. */
    Collection<HostReport> alive() {
        return youngerThan(MAX_ALIVE_AGE_MILLIS);
    }

    /** Returns the hosts that reported in the last minute. */
    Collection<HostReport> known() {
        return youngerThan(MAX_KNOWN_AGE_MILLIS);
    }

    /** Returns the number of hosts, with this one, that share the fleet's budgets. */
    public int hostCount() {
        return 1 + known().size();
    }

    /** Returns the requests that other hosts have in progress on each backend server, as far as they told lately. */
    public Map<String, Integer> outstandingByBackend() {
        Map<String, Integer> loads = new HashMap<>();
        byHost.values().stream()
                .filter(received -> ageOf(received) < MAX_LOAD_AGE_MILLIS)
                .flatMap(received -> received.report().getLoadsList().stream())
                .forEach(load -> loads.merge(load.getBackendId(), load.getOutstanding(), Integer::sum));
        return loads;
    }

    private List<HostReport> youngerThan(long limitMillis) {
        return byHost.values().stream()
                .filter(received -> ageOf(received) < limitMillis)
                .map(ReceivedReport::report)
                .toList();
    }

    private long ageOf(ReceivedReport received) {
        return loop.nowMillis() - received.createdAtMillis();
    }

    private record ReceivedReport(HostReport report, long createdAtMillis) {}
}
