package io.heatherloft.domain.configuration;

/**
 * A file of a configuration file set, which is applied atomically. Immutable and thread-safe.
 *
 * @param path path relative to the directory of the file set
 * @param text content of the file, in YAML
 */
public record ConfigurationFile(String path, String text) {}
