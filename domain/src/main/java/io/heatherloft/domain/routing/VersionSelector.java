package io.heatherloft.domain.routing;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.Model;
import io.heatherloft.domain.configuration.Rollout;
import io.heatherloft.domain.configuration.VersionReference;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the version of a model for a new session, or for a request without one.
 *
 * <p>Invariant: a rising share of a rollout never takes back a session that already started on the new version, since
 * the choice compares a stable hash with the share. Confined to the thread of the dispatch rules.
 */
public final class VersionSelector {
    private static final double PERCENT = 100.0;

    private final Configuration configuration;
    private final DispatchRules rules;

    /** Creates a selector over one configuration. */
    public VersionSelector(Configuration configuration, DispatchRules rules) {
        this.configuration = configuration;
        this.rules = rules;
    }

    /**
     * Chooses a version.
     *
     * @param affinity the session id, or the request id of a request without session
     */
    public Selection select(String workspace, String modelName, String affinity) {
        Map<VersionReference, DispatchRules.Refusal> ruledOut = new LinkedHashMap<>();
        for (VersionReference candidate : candidates(modelName, affinity)) {
            Optional<DispatchRules.Refusal> refusal = rules.refusalOf(workspace, candidate);
            if (refusal.isEmpty()) {
                return new Selection(Optional.of(candidate), ruledOut);
            }
            ruledOut.put(candidate, refusal.get());
        }
        return new Selection(Optional.empty(), ruledOut);
    }

    private List<VersionReference> candidates(String modelName, String affinity) {
        Model model = configuration.models().get(modelName);
        if (model == null) {
            return List.of();
        }
        List<String> order = new ArrayList<>();
        Optional<Rollout> rollout = Optional.ofNullable(configuration.rollouts().get(modelName));
        rollout.ifPresent(found -> order.addAll(rolloutOrder(found, affinity)));
        // The new version takes more than its share only if nothing else may be used.
        Comparator<String> newVersionLast = Comparator.comparing(
                name -> rollout.map(found -> found.to().equals(name)).orElse(false));
        model.versions().stream()
                .map(Model.Version::name)
                .filter(name -> !order.contains(name))
                .sorted(newVersionLast)
                .forEach(order::add);
        return order.stream().map(name -> new VersionReference(modelName, name)).toList();
    }

    private static List<String> rolloutOrder(Rollout rollout, String affinity) {
        double position = StableHash.toUnitInterval(StableHash.of(rollout.model() + rollout.to(), affinity));
        boolean onNewVersion = position * PERCENT < rollout.sharePercent();
        return onNewVersion ? List.of(rollout.to(), rollout.from()) : List.of(rollout.from());
    }

    /**
     * A choice and what stood against the others.
     *
     * @param version empty if no version may be used
     */
    public record Selection(
            Optional<VersionReference> version, Map<VersionReference, DispatchRules.Refusal> refusals) {}
}
