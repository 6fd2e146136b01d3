package io.heatherloft.cli.logs;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.heatherloft.cli.CommandException;
import io.heatherloft.cli.ExitCode;
import io.heatherloft.ports.http.JsonHttpClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads log files as a stream of lines, so that files of any size can be processed.
 *
 * <p>Skips a prefix that a log collector added before the JSON object of a line, and lines without an object.
 * Invariant: holds one line in memory at a time. Confined to one thread.
 */
public final class LogReader {
    private static final int LINES_PER_PROGRESS_MESSAGE = 1_000_000;

    private final PrintStream diagnostics;
    private long linesDroppedByHosts;
    private long malformedLines;

    /** Creates a reader that prints its progress and each malformed line to a stream. */
    public LogReader(PrintStream diagnostics) {
        this.diagnostics = diagnostics;
    }

    /**
     * Passes the lines of the files to a consumer, one file after the other.
     *
     * @throws CommandException if a file cannot be read
     */
    public void read(List<Path> files, Consumer<LogLine> consumer) {
        files.forEach(file -> read(file, consumer));
    }

    private void read(Path file, Consumer<LogLine> consumer) {
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            long number = 0;
            String text = reader.readLine();
            while (text != null) {
                number++;
                parse(file, number, text).ifPresent(consumer);
                if (number % LINES_PER_PROGRESS_MESSAGE == 0) {
                    diagnostics.println(file + ": " + number + " lines read");
                }
                text = reader.readLine();
            }
        } catch (IOException | UncheckedIOException exception) {
            throw new CommandException(ExitCode.USAGE, file + ": cannot read the file: " + exception.getMessage());
        }
    }

    private Optional<LogLine> parse(Path file, long number, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            LogLine line = new LogLine(JsonHttpClient.MAPPER.readTree(text.substring(start)));
            linesDroppedByHosts += line.fields().path("lines_dropped_before").asLong();
            return Optional.of(line);
        } catch (JsonProcessingException exception) {
            malformedLines++;
            diagnostics.println(file + ":" + number + ": expected a JSON object: " + exception.getOriginalMessage());
            return Optional.empty();
        }
    }

    /** Returns the number of lines that hosts dropped instead of writing them, as reported in the lines read so far. */
    public long linesDroppedByHosts() {
        return linesDroppedByHosts;
    }

    /** Returns the number of lines read so far that are not valid JSON. */
    public long malformedLines() {
        return malformedLines;
    }
}
