package io.heatherloft.domain.configuration;

/**
 * Names one version of one model, written {@code model@version} on the wire.
 *
 * <p>Invariant: neither part is empty. Immutable and thread-safe.
 */
public record VersionReference(String model, String version) {
    private static final char SEPARATOR = '@';

    /**
     * Parses the wire form.
     *
     * @throws IllegalArgumentException if {@code text} has no separator
     */
    public static VersionReference parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator <= 0 || separator == text.length() - 1) {
            throw new IllegalArgumentException("not a version reference: '" + text + "', expected model@version");
        }
        return new VersionReference(text.substring(0, separator), text.substring(separator + 1));
    }

    @Override
    public String toString() {
        return model + SEPARATOR + version;
    }
}
