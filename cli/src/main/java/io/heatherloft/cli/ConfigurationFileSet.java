package io.heatherloft.cli;

import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.domain.configuration.ConfigurationParser;
import io.heatherloft.domain.configuration.Finding;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The configuration files of a directory and the configuration that they declare.
 *
 * <p>Invariant: the files have passed validation without findings. Immutable and safe for use by several threads.
 */
public record ConfigurationFileSet(List<ConfigurationFile> files, Configuration configuration) {
    /**
     * Reads and validates the {@code .yaml} files of a directory and its subdirectories.
     *
     * @throws CommandException if the files have findings, all of which are in the message, or if the directory cannot
     *     be read
     */
    public static ConfigurationFileSet read(Path directory) {
        List<ConfigurationFile> files = readFiles(directory);
        if (files.isEmpty()) {
            throw new CommandException(ExitCode.USAGE, directory + ": expected a directory with .yaml files");
        }
        ConfigurationParser.ParseResult result = ConfigurationParser.parse(files);
        if (result.configuration().isEmpty()) {
            throw new CommandException(ExitCode.INVALID_FILES, formatFindings(result.findings()));
        }
        return new ConfigurationFileSet(files, result.configuration().get());
    }

    private static String formatFindings(List<Finding> findings) {
        String lines = findings.stream().map(Finding::toString).collect(Collectors.joining("\n"));
        return lines + "\n" + findings.size() + (findings.size() == 1 ? " finding" : " findings")
                + "; nothing was written";
    }

    private static List<ConfigurationFile> readFiles(Path directory) {
        try (Stream<Path> paths = Files.walk(directory)) {
            return paths.filter(path -> path.toString().endsWith(".yaml"))
                    .sorted()
                    .map(path ->
                            new ConfigurationFile(directory.relativize(path).toString(), readText(path)))
                    .toList();
        } catch (IOException | UncheckedIOException exception) {
            throw new CommandException(
                    ExitCode.USAGE, directory + ": cannot read the configuration files: " + exception.getMessage());
        }
    }

    private static String readText(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
