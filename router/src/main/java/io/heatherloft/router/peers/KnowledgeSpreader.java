package io.heatherloft.router.peers;

import com.google.protobuf.ByteString;
import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.rollout.SpeedSums;
import io.heatherloft.domain.rollout.VersionOutcomes;
import io.heatherloft.domain.route.CrashingRequestDetector;
import io.heatherloft.peer.PeerNetwork;
import io.heatherloft.peer.generated.BackendLoad;
import io.heatherloft.peer.generated.HostReport;
import io.heatherloft.peer.generated.KnowledgeExchange;
import io.heatherloft.peer.generated.PeerReply;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.peer.generated.PrefixNews;
import io.heatherloft.peer.generated.RequestCrash;
import io.heatherloft.peer.generated.StoredItem;
import io.heatherloft.peer.generated.VersionCounts;
import io.heatherloft.ports.loop.Futures;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.router.fleet.BackendRegistry;
import io.heatherloft.router.fleet.FleetKnowledge;
import io.heatherloft.router.fleet.SharedValues;
import io.heatherloft.router.fleet.VersionPolicies;
import io.heatherloft.router.log.DecisionLog;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * Exchanges knowledge with one other host a round, so that what one host learns reaches all without the store.
 *
 * <p>A round asks a random host for the changes that this one lacks and tells it the reports that are news. The time
 * between rounds grows with the number of hosts, so that the bytes a host sends do not. Confined to the loop's thread.
 */
public final class KnowledgeSpreader implements PeerNetwork.Handler {
    private static final long LEAST_ROUND_MILLIS = 200L;
    private static final long MILLIS_PER_HOST = 8L;
    private static final int REPORTS_PER_MESSAGE = 16;
    // Keeps a report under a few hundred bytes; crashing requests are rare.
    private static final int CRASHES_PER_REPORT = 12;

    private final Loop loop;
    private final PeerNetwork network;
    private final FleetKnowledge knowledge;
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
    private Loop.Cancellation next = () -> {};

    /**
     * Creates a spreader that does nothing before {@link #start}.
     *
     * @param address where the other hosts reach this one
     * @param seeds addresses of hosts to try while none is known
     */
    public KnowledgeSpreader(
            Loop loop,
            PeerNetwork network,
            FleetKnowledge knowledge,
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
        this.knowledge = knowledge;
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

    /** Starts the rounds. */
    public void start() {
        round();
    }

    /** Ends the rounds. */
    public void stop() {
        next.cancel();
    }

    /** Tells the other hosts, from now on, that this one stops. */
    public void announceStop() {
        stopping = true;
    }

    private void round() {
        target().ifPresent(this::exchangeWith);
        long roundMillis = Math.max(LEAST_ROUND_MILLIS, MILLIS_PER_HOST * reports.hostCount());
        next = loop.schedule(roundMillis, this::round);
    }

    // A seed is tried now and then even when hosts are known, so that two groups that lost each other meet again.
    private Optional<String> target() {
        List<String> known = Stream.concat(
                        reports.alive().stream().map(HostReport::getAddress),
                        reports.alive().isEmpty()
                                ? Stream.concat(reports.known().stream().map(HostReport::getAddress), seeds.stream())
                                : seeds.stream()
                                        .filter(_seed ->
                                                random.nextInt(reports.alive().size() + 1) == 0))
                .distinct()
                .toList();
        return known.isEmpty() ? Optional.empty() : Optional.of(known.get(random.nextInt(known.size())));
    }

    private void exchangeWith(String target) {
        PeerRequest request =
                PeerRequest.newBuilder().setKnowledge(message(List.of())).build();
        Futures.onComplete(network.call(target, request), (reply, failure) -> {
            if (failure == null) {
                accept(reply.getKnowledge());
            } else if (connected && reports.alive().isEmpty()) {
                connected = false;
                log.lifecycle("dependency_lost", line -> line.with("dependency", "other_hosts")
                        .with("reason", String.valueOf(failure.getMessage())));
            }
        });
    }

    @Override
    public CompletableFuture<PeerReply> handle(PeerRequest request) {
        KnowledgeExchange asked = request.getKnowledge();
        acceptReports(asked);
        return CompletableFuture.completedFuture(PeerReply.newBuilder()
                .setKnowledge(message(asked.getPrefixesList()))
                .build());
    }

    private KnowledgeExchange message(List<PrefixNews> asked) {
        KnowledgeExchange.Builder message = KnowledgeExchange.newBuilder().addReports(ownReport());
        reports.newest(REPORTS_PER_MESSAGE).forEach(message::addReports);
        knowledge.shared().forEach(values -> {
            PrefixNews.Builder news =
                    PrefixNews.newBuilder().setPrefix(values.prefix()).setKnownRevision(values.knownRevision());
            asked.stream()
                    .filter(wanted -> wanted.getPrefix().equals(values.prefix()))
                    .filter(wanted -> wanted.getKnownRevision() < values.knownRevision())
                    .forEach(wanted -> addItems(news, values, wanted.getKnownRevision()));
            message.addPrefixes(news);
        });
        return message.build();
    }

    private static void addItems(PrefixNews.Builder news, SharedValues values, long knownRevision) {
        boolean snapshot = values.needsSnapshot(knownRevision);
        news.setSnapshot(snapshot);
        (snapshot ? values.present() : values.after(knownRevision)).forEach(change -> {
            StoredItem.Builder item =
                    StoredItem.newBuilder().setKey(change.key()).setRevision(change.revision());
            change.value()
                    .ifPresentOrElse(
                            value -> item.setValue(ByteString.copyFrom(value.toArray())), () -> item.setDeleted(true));
            news.addItems(item);
        });
    }

    private HostReport ownReport() {
        sequence++;
        HostReport.Builder report = HostReport.newBuilder()
                .setHost(host)
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .setAddress(address)
                .setStopping(stopping);
        registry.all().stream()
                .filter(server -> server.outstanding() > 0)
                .forEach(server -> report.addLoads(BackendLoad.newBuilder()
                        .setBackendId(server.entry().id())
                        .setOutstanding(server.outstanding())));
        CrashingRequestDetector suspects = registry.crashSuspects();
        suspects.crashes(loop.nowMillis(), CRASHES_PER_REPORT)
                .forEach(crash -> report.addCrashes(RequestCrash.newBuilder()
                        .setRequestHash(crash.request())
                        .setServer(crash.server())));
        suspects.answered(loop.nowMillis()).stream().limit(CRASHES_PER_REPORT).forEach(report::addAnsweredSuspects);
        versions.progress(loop.nowMillis())
                .forEach(progress -> report.addVersions(VersionCounts.newBuilder()
                        .setService(progress.service())
                        .setOrderRevision(progress.orderRevision())
                        .setElapsedMillis(progress.elapsedMillis())
                        .setTargetAnswers(progress.target().answers())
                        .setTargetBad(progress.target().failed())
                        .setBeforeAnswers(progress.before().answers())
                        .setBeforeBad(progress.before().failed())
                        .setTargetSpeed(encode(progress.target().speeds()))
                        .setBeforeSpeed(encode(progress.before().speeds()))));
        return report.build();
    }

    private void accept(KnowledgeExchange message) {
        acceptReports(message);
        String sender = message.getReportsCount() > 0 ? message.getReports(0).getHost() : "";
        message.getPrefixesList().forEach(news -> {
            List<SharedValues.Change> changes = news.getItemsList().stream()
                    .map(KnowledgeSpreader::changeOf)
                    .toList();
            knowledge.acceptFromHost(news.getPrefix(), changes, news.getKnownRevision(), news.getSnapshot(), sender);
        });
        if (!connected) {
            connected = true;
            log.lifecycle("dependency_regained", line -> line.with("dependency", "other_hosts")
                    .with("host", sender));
        }
    }

    private static SharedValues.Change changeOf(StoredItem item) {
        Optional<Bytes> value = item.getDeleted()
                ? Optional.empty()
                : Optional.of(Bytes.copyOf(item.getValue().toByteArray()));
        return new SharedValues.Change(item.getKey(), item.getRevision(), value);
    }

    private void acceptReports(KnowledgeExchange message) {
        message.getReportsList().stream().filter(reports::accept).forEach(this::learn);
    }

    private void learn(HostReport report) {
        CrashingRequestDetector suspects = registry.crashSuspects();
        report.getAnsweredSuspectsList().forEach(request -> suspects.mergeAnswered(request, loop.nowMillis()));
        report.getCrashesList()
                .forEach(crash -> suspects.mergeCrash(
                        new CrashingRequestDetector.Crash(crash.getRequestHash(), crash.getServer()),
                        loop.nowMillis()));
        report.getVersionsList()
                .forEach(counts -> versions.recordOtherHost(
                        report.getHost() + '/' + report.getIncarnation(),
                        new VersionPolicies.Progress(
                                counts.getService(),
                                counts.getOrderRevision(),
                                counts.getElapsedMillis() + report.getAgeMillis(),
                                new VersionOutcomes(
                                        counts.getTargetAnswers(),
                                        counts.getTargetBad(),
                                        decode(counts.getTargetSpeed())),
                                new VersionOutcomes(
                                        counts.getBeforeAnswers(),
                                        counts.getBeforeBad(),
                                        decode(counts.getBeforeSpeed())))));
    }

    private static io.heatherloft.peer.generated.SpeedSums encode(SpeedSums sums) {
        return io.heatherloft.peer.generated.SpeedSums.newBuilder()
                .setAnswers(sums.answers())
                .setSum(sums.sum())
                .setSumOfSquares(sums.sumOfSquares())
                .build();
    }

    private static SpeedSums decode(io.heatherloft.peer.generated.SpeedSums sums) {
        return new SpeedSums(sums.getAnswers(), sums.getSum(), sums.getSumOfSquares());
    }
}
