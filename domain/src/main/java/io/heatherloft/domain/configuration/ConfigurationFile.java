package io.heatherloft.domain.configuration;

/**
 * A file of a set that is applied as a whole. Immutable and thread-safe.
 *
 * @param path path relative to the directory of the set
 * @param text its content, YAML
 */
public record ConfigurationFile(String path, String text) {}
