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
 * Monitors the versions that are being rolled out and quarantines a version whose answer quality regresses.
 *
 * <p>Each host reports its sampled ratings to the host that monitors the model, which is chosen by rendezvous hashing.
 * That host evaluates them and announces a quarantine as a fact, which works without the store. Invariants: a quarantine
 * names the declaration of the model under which the regression was detected, so that only a new declaration lifts it;
 * apart from a quarantine, a rollout never changes by itself. Confined to the event loop thread.
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

    /** Creates a monitor that is not started. */
    public RolloutMonitor(Ports ports, FleetState fleet, Gossiper gossiper, Counters counters) {
        this.ports = ports;
        this.fleet = fleet;
        this.gossiper = gossiper;
        this.counters = counters;
        this.sampler = new RatingSampler(ports.random(), RATINGS_PER_SECOND, RATING_BURST);
    }

    /** Starts the periodic reports. */
    public void start() {
        ports.loop().repeat(REPORT_INTERVAL_MILLIS, this::report);
    }

    /** Returns true if an answer of this version should be rated. */
    public boolean shouldRate(VersionReference version) {
        return sampler.sample(roleOf(version), ports.loop().nowMillis());
    }

    /** Adds a rating of an answer that this host served. */
    public void addRating(VersionReference version, double score) {
        if (roleOf(version) == RatingSampler.Role.STABLE) {
            return;
        }
        List<Float> scores = unreportedScores.computeIfAbsent(version, _version -> new ArrayList<>());
        if (scores.size() < MAX_SCORES_PER_REPORT) {
            scores.add((float) score);
        }
    }

    /** Evaluates the ratings that a host reports. */
    public void handle(RatingReport report) {
        VersionReference version = VersionReference.parse(report.getVersion());
        rolloutOf(version.model()).ifPresent(rollout -> evaluate(rollout, version, report.getScoresList()));
    }

    private void evaluate(Rollout rollout, VersionReference version, List<Float> scores) {
        String declaration = configuration().declarationDigest(rollout.model());
        QualityRegressionDetector detector =
                detectors.computeIfAbsent(declaration, _declaration -> new QualityRegressionDetector());
        if (roleIn(rollout, version) == RatingSampler.Role.REFERENCE) {
            scores.forEach(detector::addReference);
            return;
        }
        boolean regressed = scores.stream().map(detector::add).reduce(false, Boolean::logicalOr);
        if (regressed) {
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
        Member monitor = fleet.members().ownerOf("rollout/" + version.model());
        if (fleet.members().isSelf(monitor)) {
            handle(report);
        } else {
            PeerRequest.Builder request = PeerRequest.newBuilder().setRating(report);
            Futures.onComplete(gossiper.call(monitor.address(), request), (_reply, failure) -> {
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
