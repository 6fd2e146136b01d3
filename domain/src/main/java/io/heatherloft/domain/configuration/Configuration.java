package io.heatherloft.domain.configuration;

import io.heatherloft.domain.StableHash;
import java.util.Map;
import java.util.Optional;

/**
 * Everything that operators declare, applied as a whole.
 *
 * <p>Invariant: every reference between its parts resolves; {@link ConfigurationParser} is the only producer.
 * Immutable and safe for use by several threads. Example:
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

    /** Returns a configuration with nothing in it, which refuses every request. */
    public static Configuration empty() {
        return new Configuration(Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    /** Returns the workspace that an API key with this digest names. */
    public Optional<Workspace> workspaceOfKey(String keyDigest) {
        return Optional.ofNullable(workspaceByKeyDigest.get(keyDigest)).map(workspaces::get);
    }

    /** Returns a declared version. */
    public Optional<Model.Version> version(VersionReference reference) {
        return Optional.ofNullable(models.get(reference.model())).flatMap(model -> model.version(reference.version()));
    }

    /** Returns a name for the present declaration of a model and its rollout; it changes when either does. */
    public String declarationDigest(String model) {
        return Long.toHexString(StableHash.of(models.get(model) + "/" + rollouts.get(model)));
    }

    /** Returns true if {@code reference} is declared and not withdrawn. */
    public boolean isActive(VersionReference reference) {
        return version(reference).map(version -> !version.withdrawn()).orElse(false);
    }
}
