package io.heatherloft.ports.configuration;

import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.domain.configuration.ConfigurationParser;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A generation of the configuration with the text of its files.
 *
 * <p>Invariant: each text matches its digest in the head. Immutable and safe for use by several threads.
 *
 * @param parts text by digest
 */
public record ConfigurationDocument(ConfigurationHead head, Map<String, String> parts) {
    /** The state before anything was applied. */
    public static final ConfigurationDocument NONE = new ConfigurationDocument(ConfigurationHead.NONE, Map.of());

    /** Returns a document if every file of the head has a part whose digest is right. */
    public static Optional<ConfigurationDocument> verified(ConfigurationHead head, Map<String, String> parts) {
        boolean complete = head.files().stream()
                .allMatch(file -> parts.containsKey(file.digest())
                        && ConfigurationHead.digestOf(parts.get(file.digest())).equals(file.digest()));
        return complete ? Optional.of(new ConfigurationDocument(head, Map.copyOf(parts))) : Optional.empty();
    }

    /** Returns the files in the order of the head. */
    public List<ConfigurationFile> files() {
        return head.files().stream()
                .map(file -> new ConfigurationFile(file.path(), parts.get(file.digest())))
                .toList();
    }

    /** Returns the parsed configuration, or empty if this release cannot read it. */
    public Optional<Configuration> parse() {
        return ConfigurationParser.parse(files()).configuration();
    }
}
