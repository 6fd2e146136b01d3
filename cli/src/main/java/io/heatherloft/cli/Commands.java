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
 * The commands of the command line, without argument parsing and output.
 *
 * <p>Invariant: only {@link #apply} writes, and only to the key-value store. Stateless; confined to one thread.
 */
public final class Commands {
    private final PlatformClient client;

    /** Creates commands that use a client. */
    public Commands(PlatformClient client) {
        this.client = client;
    }

    /** Compares a directory with the configuration in force. */
    public DiffResult diff(Path directory) {
        ConfigurationFileSet files = ConfigurationFileSet.read(directory);
        ConfigurationRepository.VersionedHead head = readHead();
        return new DiffResult(
                head.head().generation(),
                ConfigurationDiff.between(readConfiguration(head.head()), files.configuration())
                        .changes());
    }

    /**
     * Applies the files of a directory as a new generation.
     *
     * @param base generation that must be in force; empty to accept any
     * @throws CommandException if the files were not applied, or if it is unknown whether they were
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
            throw new CommandException(
                    ExitCode.UNAVAILABLE, "the configuration was not applied: " + notApplied.reason());
        }
        throw new CommandException(
                ExitCode.UNKNOWN,
                "the response was lost; 'audit' shows whether the configuration was applied after generation "
                        + head.head().generation());
    }

    /** Returns the configuration in force. */
    public ConfigurationDocument show() {
        ConfigurationHead head = readHead().head();
        return client.withConfigurationRepository(repository -> repository.readDocument(head, Map.of()));
    }

    /** Returns the billed totals by workspace. */
    public Map<String, WorkspaceTotals> bills() {
        return client.readBills();
    }

    /** Returns all generations, oldest first. */
    public List<ConfigurationHead> audit() {
        return client.withConfigurationRepository(ConfigurationRepository::readAudit);
    }

    /** Returns the status that a host reports on its operations address. */
    public JsonNode status(String operationsUrl) {
        return client.readJson(operationsUrl, "/status");
    }

    /** Returns the explanation of a request, which may come from any host that still holds it. */
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

    private static CommandException conflict(ConfigurationHead current) {
        return new CommandException(
                ExitCode.CONFLICT,
                "generation " + current.generation() + " by " + current.operator()
                        + " is in force; the configuration was not applied");
    }

    /**
     * The changes that applying a directory would make.
     *
     * @param generation generation that the directory was compared with
     */
    public record DiffResult(long generation, List<ConfigurationDiff.Change> changes) {}
}
