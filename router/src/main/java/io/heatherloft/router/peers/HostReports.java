package io.heatherloft.router.peers;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.ServerSpeeds;
import io.heatherloft.peer.generated.HostReport;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendServerState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The newest report of each other host.
 *
 * <p>Of two reports of a host the one with the higher incarnation wins, then the one with the higher sequence number.
 * Confined to the loop's thread.
 */
public final class HostReports {
    // A host counts as alive while its newest report is younger than this, which is several gossip rounds.
    private static final long MAX_ALIVE_AGE_MILLIS = 3_000L;
    // Load figures older than this are outdated and not used.
    private static final long MAX_LOAD_AGE_MILLIS = 1_500L;
    // Load figures older than this are used, but a server may have become free since.
    private static final long MAX_RECENT_LOAD_AGE_MILLIS = 500L;
    // Hosts are hashed this often at most, since a check of waiting requests comes every 20 ms.
    private static final long KNOWN_HOSTS_REFRESH_MILLIS = 500L;
    // A host that sent no report for this time is no longer contacted or counted.
    private static final long MAX_KNOWN_AGE_MILLIS = 60_000L;
    // In smaller fleets, loads are known well enough that a slow server shows by its requests in progress.
    private static final int LARGE_FLEET_HOSTS = 24;
    // With 360 hosts, a host hears in a minute of about 60% of the others, in five of nearly all.
    private static final long MAX_REMEMBERED_AGE_MILLIS = 300_000L;

    // Time in which another host usually learns of a write.
    private static final long WRITE_STEP_MILLIS = 400L;
    private static final long MAX_WRITE_TURNS = 30L;
    private static final long FIRST_WRITE_SPREAD_MILLIS = 1_000L;

    private final Loop loop;
    private final String self;
    private final Random random;
    private final Map<String, ReceivedReport> byHost = new HashMap<>();
    private final ServerNotices serverNotices;
    private Map<String, Integer> outstandingByBackend = Map.of();
    private final ServerSpeeds serverSpeeds = new ServerSpeeds();
    private String ownZone = "";
    private String ownRelayAddress = "";
    private BooleanSupplier ownCutOff = () -> false;
    private Runnable reportListener = () -> {};
    private Map<String, ReportedLoad> reportedLoads = Map.of();
    private long reportedLoadsValidUntilMillis = Long.MIN_VALUE;
    private List<Long> knownHostHashes = List.of();
    private long knownHostHashesValidUntilMillis = Long.MIN_VALUE;

    /** Creates an empty collection; reports of the host named {@code self} are ignored. */
    public HostReports(Loop loop, String self) {
        this.loop = loop;
        this.self = self;
        this.random = new Random(StableHash.of(self));
        this.serverNotices = new ServerNotices(loop, self, this::hostCount);
    }

    /** Returns what backend servers have said of themselves, which hosts tell each other. */
    public ServerNotices serverNotices() {
        return serverNotices;
    }

    /** Returns the learned speeds of backend servers, which hosts tell each other. */
    public ServerSpeeds serverSpeeds() {
        return serverSpeeds;
    }

    /** Returns the response time of a server relative to the others of its service; 1 if unknown. */
    public double responseTimeFactor(BackendServerState server) {
        return serverSpeeds.factor(server.incarnationHash(), loop.nowMillis());
    }

    /** Returns true if the fleet is so large that the speeds of servers are learned and used. */
    public boolean isLargeFleet() {
        return hostCount() >= LARGE_FLEET_HOSTS;
    }

    /**
     * Announces in this host's reports that it connects other hosts to backend servers.
     *
     * @param cutOff returns true while this host has no links to the servers
     */
    public void offerRelay(String availabilityZone, String address, BooleanSupplier cutOff) {
        ownZone = availabilityZone;
        ownRelayAddress = address;
        ownCutOff = cutOff;
    }

    void addRelay(HostReport.Builder report) {
        report.setAvailabilityZone(ownZone).setRelayAddress(ownRelayAddress).setCutOff(ownCutOff.getAsBoolean());
    }

    /**
     * Returns the addresses at which other hosts connect to backend servers, in the order in which they should be asked: one
     * in the same availability zone, one in another, then the rest. Hosts of one kind are in random order.
     */
    public List<String> relayAddresses(Random random) {
        List<HostReport> offers = new ArrayList<>(alive().stream()
                .filter(report -> !report.getRelayAddress().isEmpty())
                .filter(report -> !report.getCutOff() && !report.getStopping())
                .toList());
        Collections.shuffle(offers, random);
        Map<Boolean, List<HostReport>> byNearness = offers.stream()
                .collect(Collectors.partitioningBy(
                        report -> report.getAvailabilityZone().equals(ownZone)));
        return Stream.of(
                        byNearness.get(true).stream().limit(1),
                        byNearness.get(false).stream().limit(1),
                        byNearness.get(true).stream().skip(1),
                        byNearness.get(false).stream().skip(1))
                .flatMap(hosts -> hosts)
                .map(HostReport::getRelayAddress)
                .toList();
    }

    /** Adds a report; returns false if it is not newer than the known one or is this host's own. */
    boolean add(HostReport report) {
        ReceivedReport known = byHost.get(report.getHost());
        boolean newer = !report.getHost().equals(self)
                && (known == null
                        || report.getIncarnation() > known.report().getIncarnation()
                        || (report.getIncarnation() == known.report().getIncarnation()
                                && report.getSequence() > known.report().getSequence()));
        if (newer) {
            byHost.put(report.getHost(), new ReceivedReport(report, loop.nowMillis() - report.getAgeMillis()));
            reportedLoadsValidUntilMillis = Long.MIN_VALUE;
            reportListener.run();
        }
        return newer;
    }

    /** Returns the most recent reports, with their age updated. */
    List<HostReport> newest(int limit) {
        return byHost.values().stream()
                .sorted(Comparator.comparingLong(ReceivedReport::createdAtMillis)
                        .reversed())
                .limit(limit)
                .map(received -> received.report().toBuilder()
                        .setAgeMillis((int) ageOf(received))
                        .build())
                .toList();
    }

    /** Returns the newest reports of the hosts that are alive. */
    Collection<HostReport> alive() {
        return youngerThan(MAX_ALIVE_AGE_MILLIS);
    }

    /** Returns the newest reports of the hosts that reported in the last minute. */
    Collection<HostReport> known() {
        return youngerThan(MAX_KNOWN_AGE_MILLIS);
    }

    /**
     * Returns the newest reports of the hosts that reported in the last five minutes. Hosts that have announced that they stop
     * are left out after a minute.
     */
    Collection<HostReport> remembered() {
        return byHost.values().stream()
                .filter(received -> ageOf(received)
                        < (received.report().getStopping() ? MAX_KNOWN_AGE_MILLIS : MAX_REMEMBERED_AGE_MILLIS))
                .map(ReceivedReport::report)
                .toList();
    }

    /** Returns the number of hosts, including this one, among which fleet-wide budgets are divided. */
    public int hostCount() {
        return 1
                + (int) byHost.values().stream()
                        .filter(received -> ageOf(received) < MAX_KNOWN_AGE_MILLIS)
                        .count();
    }

    /**
     * Returns the time after which this host may write a value that all hosts are about to write: none for the first host in an
     * order by hashes, which hosts that know each other agree on, and a step for each one before it.
     *
     * @param purpose names the value
     */
    public long writeDelayMillis(String purpose) {
        Collection<HostReport> others = alive();
        if (others.isEmpty()) {
            // All hosts may have started at the same moment.
            return random.nextInt((int) FIRST_WRITE_SPREAD_MILLIS);
        }
        long own = StableHash.of(self, purpose);
        long before = others.stream()
                .filter(report -> !report.getStopping())
                .filter(report -> StableHash.of(report.getHost(), purpose) < own)
                .count();
        return Math.min(MAX_WRITE_TURNS, before) * WRITE_STEP_MILLIS;
    }

    /** Returns the number of requests in progress on each backend server, summed over recent reports of other hosts. */
    public Map<String, Integer> outstandingByBackend() {
        updateReportedLoads();
        return outstandingByBackend;
    }

    /**
     * Load of a backend server, summed over recent reports of other hosts.
     *
     * @param requests requests in progress
     * @param recentRequests the part of them that was reported in the last 500 ms
     * @param tokens tokens that these requests hold, or that are kept free for waiting ones; 0 if hosts do not count them
     * @param oldestMillis time of the oldest report among them
     */
    public record ReportedLoad(int requests, int recentRequests, long tokens, long oldestMillis) {
        /** Load of a server that no other host uses. */
        public static final ReportedLoad NONE = new ReportedLoad(0, 0, 0, Long.MAX_VALUE);

        private ReportedLoad plus(ReportedLoad other) {
            return new ReportedLoad(
                    requests + other.requests,
                    recentRequests + other.recentRequests,
                    tokens + other.tokens,
                    Math.min(oldestMillis, other.oldestMillis));
        }
    }

    /** Returns the load of each backend server that other hosts use. The sums are kept until a report comes or ages. */
    public Map<String, ReportedLoad> reportedLoads() {
        updateReportedLoads();
        return reportedLoads;
    }

    private void updateReportedLoads() {
        long now = loop.nowMillis();
        if (now >= reportedLoadsValidUntilMillis) {
            Map<String, ReportedLoad> loads = new HashMap<>();
            reportedLoadsValidUntilMillis = Long.MAX_VALUE;
            byHost.values().stream()
                    .filter(received -> ageOf(received) < MAX_LOAD_AGE_MILLIS)
                    .forEach(received -> {
                        boolean recent = ageOf(received) < MAX_RECENT_LOAD_AGE_MILLIS;
                        long limitMillis = recent ? MAX_RECENT_LOAD_AGE_MILLIS : MAX_LOAD_AGE_MILLIS;
                        reportedLoadsValidUntilMillis =
                                Math.min(reportedLoadsValidUntilMillis, received.createdAtMillis() + limitMillis);
                        received.report()
                                .getLoadsList()
                                .forEach(load -> loads.merge(
                                        load.getBackendId(),
                                        new ReportedLoad(
                                                load.getOutstanding(),
                                                recent ? load.getOutstanding() : 0,
                                                load.getTokens(),
                                                received.createdAtMillis()),
                                        ReportedLoad::plus));
                    });
            reportedLoads = loads;
            outstandingByBackend = loads.entrySet().stream()
                    .collect(Collectors.toMap(
                            Map.Entry::getKey, load -> load.getValue().requests()));
        }
    }

    /** Sets what is called when a report of another host has been added; it must not take long. */
    public void onReport(Runnable listener) {
        reportListener = listener;
    }

    /** Returns hashes of the names of the other hosts that reported in the last minute, in ascending order. */
    public List<Long> knownHostHashes() {
        if (loop.nowMillis() >= knownHostHashesValidUntilMillis) {
            knownHostHashesValidUntilMillis = loop.nowMillis() + KNOWN_HOSTS_REFRESH_MILLIS;
            knownHostHashes = known().stream()
                    .map(report -> StableHash.of(report.getHost()))
                    .sorted()
                    .toList();
        }
        return knownHostHashes;
    }

    /** Returns a hash of this host's name. */
    public long selfHash() {
        return StableHash.of(self);
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
