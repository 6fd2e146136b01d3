package io.heatherloft.domain.configuration;

import java.util.Optional;

/**
 * An error in an operator's file.
 *
 * <p>Immutable and thread-safe.
 *
 * @param line line of the error, from 1; 0 if it concerns the file as a whole
 * @param column column of the error, from 1; 0 if it concerns the file as a whole
 * @param value the rejected value, as written in the file
 * @param expected description of the accepted values
 * @param nearMatch accepted value that is most similar to the rejected one
 */
public record Finding(String file, int line, int column, String value, String expected, Optional<String> nearMatch) {
    @Override
    public String toString() {
        String suggestion =
                nearMatch.map(match -> "; did you mean '" + match + "'?").orElse("");
        return file + ":" + line + ":" + column + ": '" + value + "': expected " + expected + suggestion;
    }
}
