package io.heatherloft.domain.configuration;

import java.util.Optional;

/**
 * One fault of an operator's file.
 *
 * <p>Immutable and thread-safe.
 *
 * @param line line of the fault, from 1; 0 if it concerns the file as a whole
 * @param column column of the fault, from 1; 0 if it concerns the file as a whole
 * @param value the offending value, as written
 * @param expected what would be accepted in its place
 * @param nearMatch a known value that resembles the offending one
 */
public record Finding(String file, int line, int column, String value, String expected, Optional<String> nearMatch) {
    @Override
    public String toString() {
        String suggestion =
                nearMatch.map(match -> "; did you mean '" + match + "'?").orElse("");
        return file + ":" + line + ":" + column + ": '" + value + "': expected " + expected + suggestion;
    }
}
