package io.heatherloft.daemon.fleet;

import io.heatherloft.daemon.Counters;
import io.heatherloft.daemon.Ports;
import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.Rollout;
import io.heatherloft.domain.configuration.VersionReference;
import io.heatherloft.domain.membership.Fact;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.domain.rollout.QualityRegressionDetector;
import io.heatherloft.domain.rollout.RatingSampler;
import io.heatherloft.peer.generated.PeerRequest;
import io.heatherloft.peer.generated.RatingReport;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Watches the versions that are being rolled out and quarantines one whose answers become poor.
 *
 * <p>Each host sends the ratings it sampled to the one host that watches the model, found by rendezvous hashing; that
 * host judges and tells the fleet by a fact, which needs no store. Invariants: a quarantine names the declaration it was
 * found under, so that only a new declaration of the model lifts it; a rollout never changes by itself otherwise.
 * Confined to the loop's thread.
 */
public final class RolloutMonitor {
    private static final long REPORT_INTERVAL_MILLIS = 500L;
    private static final int MAX_SCORES_PER_REPORT = 64;
    private static final long QUARANTINE_TTL_MILLIS = 604_800_000L;
    private static final double RATINGS_PER_SECOND = 5.0;
    private static final double RATING_BURST = 50.0;

    private final Ports ports;
    private final FleetState fleet;
    private final Gossiper gossiper;
    private final Counters counters;
    private final RatingSampler sampler;
    private final Map<VersionReference, List<Float>> unreportedScores = new HashMap<>();
    private final Map<String, QualityRegressionDetector> detectors = new HashMap<>();

    /** Creates a watch that is not started. */
    public RolloutMonitor(Ports ports, FleetState fleet, Gossiper gossiper, Counters counters) {
        this.ports = ports;
        this.fleet = fleet;
        this.gossiper = gossiper;
        this.counters = counters;
        this.sampler = new RatingSampler(ports.random(), RATINGS_PER_SECOND, RATING_BURST);
    }

    /** Starts to report. */
    public void start() {
        ports.loop().repeat(REPORT_INTERVAL_MILLIS, this::report);
    }

    /** Returns true if an answer of this version is to be rated. */
    public boolean shouldRate(VersionReference version) {
        return sampler.sample(roleOf(version), ports.loop().nowMillis());
    }

    /** Adds a rating of an answer that this host gave. */
    public void addRating(VersionReference version, double score) {
        if (roleOf(version) == RatingSampler.Role.STABLE) {
            return;
        }
        List<Float> scores = unreportedScores.computeIfAbsent(version, _version -> new ArrayList<>());
        if (scores.size() < MAX_SCORES_PER_REPORT) {
            scores.add((float) score);
        }
    }

    /** Judges the ratings that a host reports. */
    public void handle(RatingReport report) {
        VersionReference version = VersionReference.parse(report.getVersion());
        rolloutOf(version.model()).ifPresent(rollout -> evaluate(rollout, version, report.getScoresList()));
    }

    private void evaluate(Rollout rollout, VersionReference version, List<Float> scores) {
        String declaration = configuration().declarationDigest(rollout.model());
        QualityRegressionDetector watch =
                detectors.computeIfAbsent(declaration, _declaration -> new QualityRegressionDetector());
        if (roleIn(rollout, version) == RatingSampler.Role.REFERENCE) {
            scores.forEach(watch::addReference);
            return;
        }
        boolean raised = scores.stream().map(watch::add).reduce(false, Boolean::logicalOr);
        if (raised) {
            quarantine(version, declaration);
        }
    }

    private void quarantine(VersionReference version, String declaration) {
        if (fleet.addFact(Fact.Kind.VERSION_QUARANTINED, version.toString(), declaration, QUARANTINE_TTL_MILLIS)) {
            counters.count("rollout.quarantines");
        }
    }

    private void report() {
        Map<VersionReference, List<Float>> reported = new HashMap<>(unreportedScores);
        unreportedScores.clear();
        reported.forEach(this::send);
    }

    private void send(VersionReference version, List<Float> scores) {
        RatingReport report = RatingReport.newBuilder()
                .setVersion(version.toString())
                .setGeneration(fleet.configuration().generation())
                .addAllScores(scores)
                .build();
        Member watcher = fleet.members().ownerOf("rollout/" + version.model());
        if (fleet.members().isSelf(watcher)) {
            handle(report);
        } else {
            PeerRequest.Builder request = PeerRequest.newBuilder().setRating(report);
            Futures.onComplete(gossiper.call(watcher.address(), request), (_reply, failure) -> {
                if (failure != null) {
                    counters.count("rollout.reports-lost");
                }
            });
        }
    }

    private RatingSampler.Role roleOf(VersionReference version) {
        return rolloutOf(version.model())
                .map(rollout -> roleIn(rollout, version))
                .orElse(RatingSampler.Role.STABLE);
    }

    private Optional<Rollout> rolloutOf(String model) {
        return Optional.ofNullable(configuration().rollouts().get(model));
    }

    private Configuration configuration() {
        return fleet.configuration().configuration();
    }

    private static RatingSampler.Role roleIn(Rollout rollout, VersionReference version) {
        if (rollout.to().equals(version.version())) {
            return RatingSampler.Role.NEW_VERSION;
        }
        return rollout.from().equals(version.version()) ? RatingSampler.Role.REFERENCE : RatingSampler.Role.STABLE;
    }
}
