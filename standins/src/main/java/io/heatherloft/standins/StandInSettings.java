package io.heatherloft.standins;

import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.domain.configuration.Finding;
import io.heatherloft.domain.configuration.YamlCursor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Which stand-ins to run, and where. Immutable and safe for use by several threads.
 */
public record StandInSettings(
        String keyValueAddress,
        String hostListAddress,
        String ratingAddress,
        List<EntryHost> entryHosts,
        List<Engine> engines,
        List<PlainService> plainServices) {
    private static final long MAX_MILLIS = 600_000L;
    private static final int MAX_BATCH_LIMIT = 10_000;
    private static final double DEFAULT_QUALITY = 0.8;

    /**
     * Parses a settings file.
     *
     * @throws IllegalArgumentException with every finding, if there is one
     */
    public static StandInSettings parse(ConfigurationFile file) {
        List<Finding> findings = new ArrayList<>();
        Optional<StandInSettings> settings = YamlCursor.compose(file, findings).map(StandInSettings::read);
        if (settings.isEmpty() || !findings.isEmpty()) {
            throw new IllegalArgumentException(
                    findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
        }
        return settings.get();
    }

    private static StandInSettings read(YamlCursor cursor) {
        StandInSettings settings = new StandInSettings(
                cursor.requiredText("key-value-address"),
                cursor.requiredText("host-list-address"),
                cursor.requiredText("rating-address"),
                cursor.elements("entry-hosts").stream()
                        .map(StandInSettings::readEntryHost)
                        .toList(),
                cursor.elements("engines").stream()
                        .map(StandInSettings::readEngine)
                        .toList(),
                cursor.elements("plain-services").stream()
                        .map(StandInSettings::readPlainService)
                        .toList());
        cursor.rejectUnknownKeys();
        return settings;
    }

    private static EntryHost readEntryHost(YamlCursor cursor) {
        EntryHost host = new EntryHost(
                cursor.requiredText("id"),
                cursor.requiredText("peer-address"),
                cursor.requiredText("availability-zone"));
        cursor.rejectUnknownKeys();
        return host;
    }

    private static Engine readEngine(YamlCursor cursor) {
        EngineStandIn.Settings behaviour = new EngineStandIn.Settings(
                cursor.wholeNumber("first-token-millis", 20, 0, MAX_MILLIS),
                cursor.wholeNumber("token-millis", 5, 0, MAX_MILLIS),
                (int) cursor.wholeNumber("batch-limit", 16, 1, MAX_BATCH_LIMIT),
                cursor.flag("checks-fencing", true),
                cursor.number("default-quality", DEFAULT_QUALITY, 0, 1),
                cursor.wholeNumber("restart-millis", 3_000, 0, MAX_MILLIS));
        List<LoadedVersion> versions = cursor.elements("versions").stream()
                .map(StandInSettings::readVersion)
                .toList();
        Engine engine = new Engine(
                cursor.requiredText("address"),
                cursor.requiredText("pool"),
                cursor.requiredText("availability-zone"),
                behaviour,
                versions);
        cursor.rejectUnknownKeys();
        return engine;
    }

    private static LoadedVersion readVersion(YamlCursor cursor) {
        LoadedVersion version =
                new LoadedVersion(cursor.requiredText("name"), cursor.number("quality", DEFAULT_QUALITY, 0, 1));
        cursor.rejectUnknownKeys();
        return version;
    }

    private static PlainService readPlainService(YamlCursor cursor) {
        PlainService service = new PlainService(
                cursor.requiredText("address"), cursor.requiredText("pool"), cursor.requiredText("availability-zone"));
        cursor.rejectUnknownKeys();
        return service;
    }

    /** An entry host as the host list shows it. */
    public record EntryHost(String id, String peerAddress, String availabilityZone) {}

    /** A model engine. */
    public record Engine(
            String address,
            String pool,
            String availabilityZone,
            EngineStandIn.Settings settings,
            List<LoadedVersion> versions) {}

    /** A version that an engine has loaded at its start, with the mean quality of its answers. */
    public record LoadedVersion(String name, double quality) {}

    /** A backend server of a plain service. */
    public record PlainService(String address, String pool, String availabilityZone) {}
}
