package io.heatherloft.domain.configuration;

import io.heatherloft.domain.StableHash;
import java.util.Map;
import java.util.Optional;

/**
 * The complete set of operators' declarations, applied atomically.
 *
 * <p>Invariant: every reference between its parts is valid; {@link ConfigurationParser} is the only producer. Immutable
 * and thread-safe. Example:
 *
 * <pre>{@code
 * Configuration configuration = ConfigurationParser.parse(files).orElseThrow();
 * Optional<Workspace> workspace = configuration.workspaceOfKey(digest);
 * }</pre>
 */
public record Configuration(
        Map<String, Workspace> workspaces,
        Map<String, Model> models,
        Map<String, Cascade> cascades,
        Map<String, Pool> pools,
        Map<String, PlainService> services,
        Map<String, Rollout> rollouts,
        Map<String, String> workspaceByKeyDigest) {

    /** Returns an empty configuration, under which every request is refused. */
    public static Configuration empty() {
        return new Configuration(Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    /** Returns the workspace that owns the API key with the given digest. */
    public Optional<Workspace> workspaceOfKey(String keyDigest) {
        return Optional.ofNullable(workspaceByKeyDigest.get(keyDigest)).map(workspaces::get);
    }

    /** Returns the declaration of a version. */
    public Optional<Model.Version> version(VersionReference reference) {
        return Optional.ofNullable(models.get(reference.model())).flatMap(model -> model.version(reference.version()));
    }

    /**
     * Returns a digest of the declarations of a model and its rollout. Hosts compare digests, which are computed from
     * the string forms of the records, so the names of their components must not change.
     */
    public String declarationDigest(String model) {
        return Long.toHexString(StableHash.of(models.get(model) + "/" + rollouts.get(model)));
    }

    /** Returns true if a version is declared and not withdrawn. */
    public boolean isActive(VersionReference reference) {
        return version(reference).map(version -> !version.withdrawn()).orElse(false);
    }
}
