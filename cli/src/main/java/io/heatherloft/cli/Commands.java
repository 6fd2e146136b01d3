package io.heatherloft.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.ConfigurationDiff;
import io.heatherloft.domain.ledger.WorkspaceTotals;
import io.heatherloft.ports.configuration.ConfigurationDocument;
import io.heatherloft.ports.configuration.ConfigurationHead;
import io.heatherloft.ports.configuration.ConfigurationRepository;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * What the command line can do, apart from how it is asked and shown.
 *
 * <p>Invariant: only {@link #apply} writes, and only to the store. Stateless; confined to one thread.
 */
public final class Commands {
    private final PlatformClient client;

    /** Creates commands over a session. */
    public Commands(PlatformClient session) {
        this.client = session;
    }

    /** Compares a directory with what is in force. */
    public DiffResult diff(Path directory) {
        ConfigurationFileSet files = ConfigurationFileSet.read(directory);
        ConfigurationRepository.VersionedHead head = readHead();
        return new DiffResult(
                head.head().generation(),
                ConfigurationDiff.between(readConfiguration(head.head()), files.configuration())
                        .changes());
    }

    /**
     * Puts a directory in force.
     *
     * @param base generation that must be in force; empty for whichever is
     * @throws CommandException if it is not in force afterwards, or that is not known
     */
    public ConfigurationHead apply(Path directory, String operator, OptionalLong base) {
        ConfigurationFileSet files = ConfigurationFileSet.read(directory);
        ConfigurationRepository.VersionedHead head = readHead();
        if (base.isPresent() && head.head().generation() != base.getAsLong()) {
            throw conflict(head.head());
        }
        String summary = ConfigurationDiff.between(readConfiguration(head.head()), files.configuration())
                .summary();
        String writer = UUID.randomUUID().toString();
        ConfigurationRepository.ApplyOutcome outcome = client.withConfigurationRepository(
                repository -> repository.apply(head, files.files(), operator, writer, summary));
        if (outcome instanceof ConfigurationRepository.ApplyOutcome.Applied applied) {
            return applied.head();
        }
        if (outcome instanceof ConfigurationRepository.ApplyOutcome.Conflict conflict) {
            throw conflict(conflict.current());
        }
        if (outcome instanceof ConfigurationRepository.ApplyOutcome.NotApplied notApplied) {
            throw new CommandException(ExitCode.UNAVAILABLE, "nothing was applied: " + notApplied.reason());
        }
        throw new CommandException(
                ExitCode.UNKNOWN,
                "the answer was lost; see 'audit' for the generation after "
                        + head.head().generation());
    }

    /** Returns the configuration in force. */
    public ConfigurationDocument show() {
        ConfigurationHead head = readHead().head();
        return client.withConfigurationRepository(repository -> repository.readDocument(head, Map.of()));
    }

    /** Returns what each workspace was billed. */
    public Map<String, WorkspaceTotals> bills() {
        return client.readBills();
    }

    /** Returns all generations, oldest first. */
    public List<ConfigurationHead> audit() {
        return client.withConfigurationRepository(ConfigurationRepository::readAudit);
    }

    /** Returns a host's status page. */
    public JsonNode status(String operationsUrl) {
        return client.readJson(operationsUrl, "/status");
    }

    /** Returns the explanation of a request, from whichever host remembers it. */
    public JsonNode explain(String operationsUrl, String requestId) {
        return client.readJson(operationsUrl, "/explain/" + requestId);
    }

    private ConfigurationRepository.VersionedHead readHead() {
        return client.withConfigurationRepository(ConfigurationRepository::readHead);
    }

    private Configuration readConfiguration(ConfigurationHead head) {
        if (head.generation() == 0) {
            return Configuration.empty();
        }
        return client.withConfigurationRepository(repository -> repository.readDocument(head, Map.of()))
                .parse()
                .orElseGet(Configuration::empty);
    }

    private static CommandException conflict(ConfigurationHead standing) {
        return new CommandException(
                ExitCode.CONFLICT,
                "generation " + standing.generation() + " by " + standing.operator()
                        + " stands; nothing of yours was applied");
    }

    /** What an application would change against a generation. */
    public record DiffResult(long generation, List<ConfigurationDiff.Change> changes) {}
}
