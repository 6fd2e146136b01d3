package io.heatherloft.ports.configuration;

import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.domain.configuration.ConfigurationParser;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A generation of the configuration with the contents of its files.
 *
 * <p>Invariant: each part matches its digest in the head. Immutable and thread-safe.
 *
 * @param parts file contents by digest
 */
public record ConfigurationDocument(ConfigurationHead head, Map<String, String> parts) {
    /** The state before the first configuration is applied. */
    public static final ConfigurationDocument NONE = new ConfigurationDocument(ConfigurationHead.NONE, Map.of());

    /** Returns a document, or empty if a file of the head has no part or its part does not match the digest. */
    public static Optional<ConfigurationDocument> verified(ConfigurationHead head, Map<String, String> parts) {
        boolean complete = head.files().stream()
                .allMatch(file -> parts.containsKey(file.digest())
                        && ConfigurationHead.digestOf(parts.get(file.digest())).equals(file.digest()));
        return complete ? Optional.of(new ConfigurationDocument(head, Map.copyOf(parts))) : Optional.empty();
    }

    /** Returns the files in the order of the head's references. */
    public List<ConfigurationFile> files() {
        return head.files().stream()
                .map(file -> new ConfigurationFile(file.path(), parts.get(file.digest())))
                .toList();
    }

    /** Returns the parsed configuration, or empty if this release cannot parse it. */
    public Optional<Configuration> parse() {
        return ConfigurationParser.parse(files()).configuration();
    }
}
