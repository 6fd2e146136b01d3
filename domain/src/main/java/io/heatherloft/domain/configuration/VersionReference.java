package io.heatherloft.domain.configuration;

/**
 * Reference to a version of a model, written {@code model@version} on the wire.
 *
 * <p>Invariant: neither part is empty. Immutable and thread-safe.
 */
public record VersionReference(String model, String version) {
    private static final char SEPARATOR = '@';

    /**
     * Parses the wire format.
     *
     * @throws IllegalArgumentException if {@code text} lacks the separator, the model or the version
     */
    public static VersionReference parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator <= 0 || separator == text.length() - 1) {
            throw new IllegalArgumentException("invalid version reference '" + text + "': expected model@version");
        }
        return new VersionReference(text.substring(0, separator), text.substring(separator + 1));
    }

    @Override
    public String toString() {
        return model + SEPARATOR + version;
    }
}
