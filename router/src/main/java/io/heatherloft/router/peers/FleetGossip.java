package io.heatherloft.router.peers;

import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.rollout.OverdueCounts;
import io.heatherloft.domain.rollout.SpeedSums;
import io.heatherloft.domain.rollout.VersionOutcomes;
import io.heatherloft.peer.PeerNetwork;
import io.heatherloft.peer.generated.BackendLoad;
import io.heatherloft.peer.generated.HostReport;
import io.heatherloft.peer.generated.KnowledgeExchange;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.peer.generated.PrefixNews;
import io.heatherloft.peer.generated.RequestCrash;
import io.heatherloft.peer.generated.RequestCrashNews;
import io.heatherloft.peer.generated.RetainedSessionHashes;
import io.heatherloft.peer.generated.VersionCounts;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.BackendServerState;
import io.heatherloft.router.fleet.CrashingPrompts;
import io.heatherloft.router.fleet.CrashingRequests;
import io.heatherloft.router.fleet.FleetView;
import io.heatherloft.router.fleet.PrefixReplica;
import io.heatherloft.router.fleet.VersionPolicies;
import io.heatherloft.router.log.DecisionLog;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * Gossip protocol that spreads stored values and host reports between hosts, also while the store is unreachable.
 *
 * <p>In each round this host contacts a random other host, requests the store changes that it lacks and sends recent
 * reports. The interval between rounds grows with the number of hosts, so that the traffic per host stays constant;
 * while a rollout waits for the hosts to learn of it, the store was just restored, or a server has just crashed or named
 * a limit, rounds are short and carry few reports. A host that cannot reach the store learns of its changes in these rounds
 * only, so they are at most {@link #MAX_ROUND_MILLIS_WITHOUT_STORE} apart there.
 * Confined to the loop's thread.
 */
public final class FleetGossip implements PeerNetwork.Handler {
    private static final long MIN_ROUND_MILLIS = 200L;
    private static final long SHORT_ROUND_MILLIS = 100L;
    private static final long ROUND_MILLIS_PER_HOST = 8L;
    // Half of the hosts may have lost the store; eight rounds are enough for all of them to learn of an order in 5 s.
    private static final long MAX_ROUND_MILLIS_WITHOUT_STORE = 600L;
    private static final int REPORTS_PER_MESSAGE = 16;
    private static final int REPORTS_PER_MESSAGE_IN_SHORT_ROUNDS = 2;
    // Limits the size of a report to a few hundred bytes; requests that crash servers are rare.
    private static final int CRASHES_PER_REPORT = 12;
    private static final int REQUEST_CRASHES_PER_MESSAGE = 32;
    // Limits the size of a message to a few kilobytes.
    private static final int CRASHES_PER_MESSAGE = 64;

    private final Loop loop;
    private final PeerNetwork network;
    private final FleetView fleet;
    private final BackendRegistry registry;
    private final VersionPolicies versions;
    private final HostReports reports;
    private final DecisionLog log;
    private final Random random;
    private final String host;
    private final String address;
    private final long incarnation;
    private final List<String> seeds;
    private long sequence;
    private boolean stopping;
    private boolean connected;
    private long lastRoundMillis;
    private Loop.Cancellation roundTimer = () -> {};

    /**
     * Creates a gossip instance that starts no rounds until {@link #start}.
     *
     * @param address address at which other hosts reach this one
     * @param seeds addresses of hosts to contact at startup and, occasionally, later on
     */
    public FleetGossip(
            Loop loop,
            PeerNetwork network,
            FleetView knowledge,
            BackendRegistry registry,
            VersionPolicies versions,
            HostReports reports,
            DecisionLog log,
            Random random,
            String host,
            String address,
            List<String> seeds) {
        this.loop = loop;
        this.network = network;
        this.fleet = knowledge;
        this.registry = registry;
        this.versions = versions;
        this.reports = reports;
        this.log = log;
        this.random = random;
        this.host = host;
        this.address = address;
        this.incarnation = loop.nowMillis();
        this.seeds = seeds.stream().filter(seed -> !seed.equals(address)).toList();
    }

    /** Starts the gossip rounds. */
    public void start() {
        runRound();
        roundTimer = loop.repeat(SHORT_ROUND_MILLIS, this::runRoundIfDue);
    }

    /** Stops the gossip rounds. */
    public void stop() {
        roundTimer.cancel();
    }

    /** Marks this host as stopping in all further reports. */
    public void announceStop() {
        stopping = true;
    }

    private void runRoundIfDue() {
        // The timer fires a little late, so a round that is due within half of a period runs now.
        boolean due = loop.nowMillis() + SHORT_ROUND_MILLIS / 2 >= lastRoundMillis + roundMillis();
        if (due || isUrgent()) {
            runRound();
        }
    }

    private long roundMillis() {
        return fleet.isWithoutStore() ? Math.min(fullRoundMillis(), MAX_ROUND_MILLIS_WITHOUT_STORE) : fullRoundMillis();
    }

    private long fullRoundMillis() {
        return Math.max(MIN_ROUND_MILLIS, ROUND_MILLIS_PER_HOST * reports.hostCount());
    }

    // More frequent rounds carry fewer reports, so that the traffic of reports stays the same.
    private int reportsPerMessage() {
        return isUrgent()
                ? REPORTS_PER_MESSAGE_IN_SHORT_ROUNDS
                : Math.max(REPORTS_PER_MESSAGE_IN_SHORT_ROUNDS, (int)
                        (REPORTS_PER_MESSAGE * roundMillis() / fullRoundMillis()));
    }

    private boolean isUrgent() {
        return versions.isRolloutWaiting()
                || fleet.isEraNew()
                || crashingPrompts().isUrgent()
                || registry.crashingRequests().isUrgent()
                || reports.serverNotices().isUrgent();
    }

    private void runRound() {
        lastRoundMillis = loop.nowMillis();
        choosePeer().ifPresent(this::exchangeWith);
    }

    // Seeds are contacted occasionally even when hosts are alive, so that the two sides of a partition reconnect.
    private Optional<String> choosePeer() {
        List<String> candidates = Stream.concat(
                        reports.alive().stream().map(HostReport::getAddress),
                        reports.alive().isEmpty()
                                ? Stream.concat(reports.known().stream().map(HostReport::getAddress), seeds.stream())
                                : seeds.stream()
                                        .filter(_seed ->
                                                random.nextInt(reports.alive().size() + 1) == 0))
                .distinct()
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private void exchangeWith(String peerAddress) {
        PeerRequest request = PeerRequest.newBuilder()
                .setKnowledge(newMessage(List.of(), !crashingPrompts().isUrgent()))
                .build();
        Futures.onComplete(network.call(peerAddress, request), (reply, failure) -> {
            if (failure == null) {
                onReply(reply.getKnowledge());
            } else if (connected && reports.alive().isEmpty()) {
                connected = false;
                log.lifecycle("dependency_lost", line -> line.with("dependency", "other_hosts")
                        .with("reason", String.valueOf(failure.getMessage())));
            }
        });
    }

    @Override
    public CompletableFuture<PeerReply> handle(PeerRequest request) {
        KnowledgeExchange received = request.getKnowledge();
        applyRetainedSessions(received);
        applyCrashes(received);
        applyReports(received);
        reports.serverNotices().merge(received);
        boolean sameCrashes =
                received.getCrashes().getFingerprint() == crashingPrompts().fingerprint();
        return CompletableFuture.completedFuture(PeerReply.newBuilder()
                .setKnowledge(newMessage(received.getPrefixesList(), sameCrashes))
                .build());
    }

    private CrashingPrompts crashingPrompts() {
        return registry.crashingPrompts();
    }

    private KnowledgeExchange newMessage(List<PrefixNews> requestedPrefixes, boolean crashesKnown) {
        KnowledgeExchange.Builder message = KnowledgeExchange.newBuilder().addReports(ownReport());
        reports.newest(reportsPerMessage()).forEach(message::addReports);
        versions.retainedSessions()
                .forEach(retained -> message.addRetained(RetainedSessionHashes.newBuilder()
                        .setService(retained.service())
                        .setOrderRevision(retained.orderRevision().number())
                        .setOrderEra(retained.orderRevision().era())
                        .addAllHashes(retained.hashes())));
        reports.serverNotices().addTo(message);
        long fingerprint = crashingPrompts().fingerprint();
        CrashingPrompts.News crashNews = crashingPrompts().news(crashesKnown ? 0 : CRASHES_PER_MESSAGE);
        if (fingerprint != 0 || !crashNews.servers().isEmpty()) {
            message.setCrashes(CrashNewsCodec.encode(fingerprint, crashNews, loop.nowMillis()));
        }
        RequestCrashNews requestCrashes = CrashNewsCodec.encode(
                registry.crashingRequests()
                        .news(
                                registry.crashingRequests().isUrgent()
                                        ? CRASHES_PER_MESSAGE
                                        : REQUEST_CRASHES_PER_MESSAGE),
                loop.nowMillis());
        if (requestCrashes.getServersCount() + requestCrashes.getAnsweredCount() > 0) {
            message.setRequestCrashes(requestCrashes);
        }
        fleet.replicas()
                .forEach(replica -> message.addPrefixes(PrefixNewsCodec.encode(
                        replica, fleet.sharedEarlierChanges(replica), requestFor(replica, requestedPrefixes))));
        return message.build();
    }

    private static Optional<PrefixNews> requestFor(PrefixReplica replica, List<PrefixNews> requestedPrefixes) {
        return requestedPrefixes.stream()
                .filter(requested -> requested.getPrefix().equals(replica.prefix()))
                .findFirst();
    }

    private HostReport ownReport() {
        sequence++;
        HostReport.Builder report = HostReport.newBuilder()
                .setHost(host)
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .setAddress(address)
                .setStopping(stopping);
        reports.addRelay(report);
        boolean largeFleet = reports.isLargeFleet();
        registry.all().stream()
                .filter(server -> server.outstanding() > 0 || server.claimedTokens() > 0)
                .forEach(server -> report.addLoads(BackendLoad.newBuilder()
                        .setBackendId(server.entry().id())
                        .setOutstanding(server.outstanding())
                        .setSlowdown(largeFleet ? (float) reportedSpeed(server) : 0)
                        .setTokens(server.claimedTokens())));
        CrashingRequests.News suspects = registry.crashingRequests().news(CRASHES_PER_REPORT);
        suspects.crashes().stream()
                .filter(crash -> loop.nowMillis() - crash.atMillis() <= CrashNewsCodec.MAX_REPORTED_CRASH_AGE_MILLIS)
                .forEach(crash -> report.addCrashes(RequestCrash.newBuilder()
                        .setRequestHash(crash.request())
                        .setServer(crash.server())));
        suspects.answers().forEach(answer -> report.addAnsweredSuspects(answer.request()));
        versions.localProgress(loop.nowMillis())
                .forEach(progress -> report.addVersions(VersionCounts.newBuilder()
                        .setService(progress.service())
                        .setOrderRevision(progress.orderRevision().number())
                        .setOrderEra(progress.orderRevision().era())
                        .setElapsedMillis(progress.elapsedMillis())
                        .setTargetAnswers(progress.target().answers())
                        .setTargetBad(progress.target().failed())
                        .setBeforeAnswers(progress.previous().answers())
                        .setBeforeBad(progress.previous().failed())
                        .setTargetSpeed(encode(progress.target().speeds()))
                        .setBeforeSpeed(encode(progress.previous().speeds()))
                        .setTargetOverdue(encode(progress.target().overdue()))
                        .setBeforeOverdue(encode(progress.previous().overdue()))));
        return report.build();
    }

    private double reportedSpeed(BackendServerState server) {
        return reports.serverSpeeds().reportedFactor(server.incarnationHash(), loop.nowMillis());
    }

    private void onReply(KnowledgeExchange message) {
        String sender = message.getReportsCount() > 0 ? message.getReports(0).getHost() : "";
        message.getPrefixesList()
                .forEach(prefixNews -> fleet.applyFromHost(PrefixNewsCodec.decode(prefixNews), sender));
        // A report may start the canary phase, in which a session that is not known to be retained can move.
        applyRetainedSessions(message);
        applyCrashes(message);
        applyReports(message);
        reports.serverNotices().merge(message);
        if (!connected) {
            connected = true;
            log.lifecycle("dependency_regained", line -> line.with("dependency", "other_hosts")
                    .with("host", sender));
        }
    }

    private void applyRetainedSessions(KnowledgeExchange message) {
        message.getRetainedList()
                .forEach(retained -> versions.addRetainedSessions(new VersionPolicies.Retained(
                        retained.getService(),
                        new StoreRevision(retained.getOrderEra(), retained.getOrderRevision()),
                        retained.getHashesList())));
    }

    // Applied before the reports, which tell some of the same crashes without their ages.
    private void applyCrashes(KnowledgeExchange message) {
        registry.crashingRequests().merge(CrashNewsCodec.decode(message.getRequestCrashes(), loop.nowMillis()));
        if (message.hasCrashes()) {
            crashingPrompts().merge(CrashNewsCodec.decode(message.getCrashes(), loop.nowMillis()));
        }
    }

    private void applyReports(KnowledgeExchange message) {
        message.getReportsList().stream().filter(reports::add).forEach(this::applyReport);
    }

    private void applySpeeds(HostReport report) {
        report.getLoadsList().stream()
                .filter(load -> load.getSlowdown() > 0)
                .forEach(load -> registry.find(load.getBackendId()).ifPresent(server -> reports.serverSpeeds()
                        .recordReport(
                                server.incarnationHash(),
                                load.getSlowdown(),
                                loop.nowMillis() - report.getAgeMillis())));
    }

    private void applyReport(HostReport report) {
        applySpeeds(report);
        registry.crashingRequests().merge(CrashNewsCodec.decode(report, loop.nowMillis()));
        report.getVersionsList()
                .forEach(counts -> versions.recordRemoteProgress(
                        report.getHost() + '/' + report.getIncarnation(),
                        new VersionPolicies.Progress(
                                counts.getService(),
                                new StoreRevision(counts.getOrderEra(), counts.getOrderRevision()),
                                counts.getElapsedMillis() + report.getAgeMillis(),
                                new VersionOutcomes(
                                        counts.getTargetAnswers(),
                                        counts.getTargetBad(),
                                        decode(counts.getTargetSpeed()),
                                        decode(counts.getTargetOverdue())),
                                new VersionOutcomes(
                                        counts.getBeforeAnswers(),
                                        counts.getBeforeBad(),
                                        decode(counts.getBeforeSpeed()),
                                        decode(counts.getBeforeOverdue())))));
    }

    private static io.heatherloft.peer.generated.SpeedSums encode(SpeedSums sums) {
        return io.heatherloft.peer.generated.SpeedSums.newBuilder()
                .setAnswers(sums.answers())
                .setSum(sums.sum())
                .setSumOfSquares(sums.sumOfSquares())
                .build();
    }

    private static io.heatherloft.peer.generated.OverdueCounts encode(OverdueCounts counts) {
        return io.heatherloft.peer.generated.OverdueCounts.newBuilder()
                .setResponses(counts.responses())
                .setOverdue(counts.overdue())
                .setStalled(counts.stalled())
                .build();
    }

    private static OverdueCounts decode(io.heatherloft.peer.generated.OverdueCounts counts) {
        return new OverdueCounts(counts.getResponses(), counts.getOverdue(), counts.getStalled());
    }

    private static SpeedSums decode(io.heatherloft.peer.generated.SpeedSums sums) {
        return new SpeedSums(sums.getAnswers(), sums.getSum(), sums.getSumOfSquares());
    }
}
